#pragma once
// A simulated controller: the real scheduler, ledger cache and rules of leadership, driven by
// events in place of the daemon's threads. It follows src/daemon/controller.cpp step by step; a
// change of the rules there has to be made here too. The World owns them.
//
// controller.cpp holds the process and its loops, controller_leadership.cpp elections and the
// exchange with peer controllers, controller_requests.cpp what workers and users ask.

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "leadership/cancellations.h"
#include "leadership/lease_clock.h"
#include "scheduler/scheduler.h"
#include "simulation/state_service.h"
#include "simulation/users.h"
#include "simulation/worker.h"

namespace rookdyke::test {

class SimController {
 public:
  SimController(World& world, size_t index);

  // Starts the process, without any memory of earlier ones.
  void boot();
  void crash();
  // The process is paused for `s` seconds in the middle of whatever it does; its clocks run on.
  void freeze(double s);
  bool alive = false;
  double frozen_until = -1;

  bool leading() const { return scheduler_ != nullptr; }
  const Scheduler* scheduler() const { return scheduler_.get(); }
  uint64_t fencing_token() const { return fencing_token_; }
  const std::string& label() const { return label_; }

  HeartbeatAnswer on_heartbeat(const Heartbeat& heartbeat);
  // Replies later with the job's status ("pending", "running", "done", "aborted", "404"), or with
  // "" for 503.
  using Reply = std::function<void(const std::string&)>;
  void on_user_request(UserRequest request, const JobSpec& spec, const Reply& reply);

 private:
  // An election that this controller stands for.
  struct Campaign {
    double began = 0;
    uint64_t fencing_token = 0, lease = 0;  // 0: not won
  };
  // What a read of the ledger's changes found.
  struct LedgerRead {
    double sent = 0;
    uint64_t from = 0, revision = 0;
    bool ok = false;
    std::vector<Store::Event> events;
    std::vector<std::function<void(bool)>> waiting;  // for a read that began after they did
  };
  // What peer controllers tell one another about leaders and cancellations.
  struct PeerView {
    std::string incarnation;
    uint64_t fencing_token = 0, read_to = 0;
  };

  // ---- controller.cpp
  void reset();
  // Calls a loop again after `s` seconds, or when this process wakes.
  void later(double s, void (SimController::*loop)());
  // Sends a request over the network; `done` is not called if the process has ended meanwhile.
  void call(const std::string& to, double timeout, const std::function<void()>& served,
            const std::function<void(bool)>& done);
  bool leads_with(uint64_t fencing_token) const {
    return scheduler_ && fencing_token == fencing_token_;
  }
  void run_round();
  void commit();
  static ledger::Result execute(Store& store, const ledger::Transaction& t, bool resend,
                                const ledger::Change* marked);
  void send_direct_commands();
  void send_direct_command(const DirectCommand& command);
  void call_cloud();
  void return_machines(const std::vector<std::string>& names);
  void rent(const RentalRequest& request);
  void list_machines();
  void read_ledger();
  void on_ledger_read(const LedgerRead& read);
  void apply(const Store::Event& event);
  // Calls `then` once a read of the ledger that begins from now on has ended.
  void barrier(std::function<void(bool)> then);

  // ---- controller_leadership.cpp
  void check_stall();
  bool lease_state_is_current();
  // Leads without doubt.
  bool may_decide();
  uint64_t known_token() const;
  void maintain_leadership();
  void renew_lease();
  bool may_campaign() const;
  void campaign();
  void acquire_leadership(const std::shared_ptr<Campaign>& campaign);
  void on_elected(const Campaign& campaign, bool ledger_read);
  void step_down(double cooldown_s = 0);
  void exchange_views();
  void exchange_view(size_t peer);
  void on_peer_view(const SimController& peer, const PeerView& view, double sent);

  // ---- controller_requests.cpp
  bool may_answer_workers();
  std::string status_of(const std::string& id) const;
  void reply_to_read(UserRequest request, const JobSpec& spec, double asked, const Reply& reply);
  void submit(const JobSpec& spec, const std::string& transaction_id, const Reply& reply);
  void abort(const std::string& id, const std::string& transaction_id, const Reply& reply);
  std::string new_transaction_id();
  // Commits, and repeats the same transaction if its outcome stays unknown. Empty: still unknown
  // after so many tries.
  using OnSettled = std::function<void(const std::optional<ledger::Result>&)>;
  void settle(const ledger::Transaction& t, bool resend, int tries, const OnSettled& then);
  void reply_cancelled(const std::string& id, uint64_t leader, const Reply& reply);
  // Whether a user may be told that the job is cancelled. `leader`: the fencing token that its
  // cancellation was conditioned on; 0: not known.
  void may_confirm_cancellation(const std::string& id, uint64_t leader,
                                const std::function<void(bool)>& then);
  void tell_leader_of_cancellation(const std::string& id, const CachedJob& job, size_t leader,
                                   uint64_t fencing_token, const std::function<void(bool)>& then);
  uint64_t on_cancellations(uint64_t fencing_token, const std::string& id, const CachedJob& job);
  void put_job(const std::string& id, const nlohmann::json& value, uint64_t version);

  World& world_;
  size_t index_;
  std::string label_, place_;
  uint64_t life_ = 0;  // outdates what belongs to an earlier process

  LedgerCache ledger_cache_;
  uint64_t revision_ = 0;
  bool loaded_ = false;
  std::vector<std::function<void(bool)>> waiting_;

  bool campaigning_ = false;
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t fencing_token_ = 0, lease_ = 0;
  LeaseClock lease_clock_;
  KnownCancellations known_cancellations_;
  CancellationStaleness cancellation_staleness_;
  uint64_t highest_token_ = 0;
  double cooldown_until_ = 0, heard_state_ = -1e9, heard_peer_ = -1e9;
  double next_renewal_ = 0;

  bool committing_ = false, cloud_busy_ = false;
  double next_list_ = 0;
  uint64_t transaction_count_ = 0;
};

// Seconds for which a leader keeps the leader key without a renewal.
inline constexpr double kLeaseTtl = 2.5;

}  // namespace rookdyke::test
