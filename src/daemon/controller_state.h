#pragma once
// The state that the threads of one controller share, and the state machine of its role. It is
// reached only through SharedState::lock(), so it locks nothing and never blocks. The term of a
// leader is named by its fencing token: what was decided under one counts under no other.
// Moments are of steady_now(), in seconds.

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "config/config.h"
#include "daemon/cancellation_gate.h"
#include "daemon/reachability.h"
#include "daemon/wakeups.h"
#include "leadership/cancellations.h"
#include "leadership/lease_clock.h"
#include "leadership/role.h"
#include "ledger/ledger_cache.h"
#include "net/rate_limiter.h"
#include "net/write_share.h"
#include "scheduler/scheduler.h"
#include "state/client.h"
#include "wire/wire.h"

namespace rookdyke {

// The leader's share of the requests to the state service; followers divide the rest.
inline constexpr double kLeaderRequestShare = 0.6;

class ControllerState {
 public:
  // All arguments must outlive this object.
  ControllerState(const Config& config, state::RateLimiters& state_limiters,
                  net::RateLimiter& cloud_limiter, const Reachability& reachability,
                  Wakeups& wakeups);

  // -- the role: one function per transition

  // To be called once, before the threads start.
  void start(double now);
  // cooldown -> follower, once its time is over.
  void end_cooldown_if_over(double now);
  // follower -> campaigning, if still nobody holds the leader key. Whether it was.
  bool begin_campaign();
  // campaigning -> follower.
  void abandon_campaign(const std::string& why);
  // campaigning -> leading: builds the scheduler from the ledger cache.
  void become_leader(uint64_t fencing_token, double now);
  // A renewal that was sent then came to that outcome: leading <-> unconfirmed, or -> follower.
  void on_renewal(state::Client::Renewal outcome, double sent, double now);
  // Gives up leadership: -> follower or cooldown. The scheduler ends with it.
  void step_down(Role to, const std::string& why);

  Role role() const { return role_; }
  // leading or unconfirmed.
  bool leads() const { return is_leader(role_); }
  // The token of the term; 0: does not lead.
  uint64_t fencing_token() const { return fencing_token_; }
  // Null unless it leads.
  Scheduler* scheduler() { return scheduler_.get(); }
  // The same, but null too if that term is over.
  Scheduler* scheduler_of_term(uint64_t fencing_token);

  // -- the lease. A process may be suspended in any line while its clocks run on: nothing that was
  // read, decided or queued before counts until the lease was asked for again.

  // Finds out whether this process was suspended; to be called several times a second.
  void notice_stall(double now);
  // The leader key was granted by a request that was sent then.
  void on_lease_granted(double sent) { lease_clock_.on_renewed(sent); }
  bool lease_runs(double now) const;
  // Leads, and the lease was asked for since the last stall.
  bool lease_confirmed(double now);
  // Leads with a lease that it could renew: may decide, write and command.
  bool may_decide(double now);
  // Leads with a lease that it could not renew: may still have cancelled work stopped.
  bool is_unconfirmed_leader(double now);

  // -- the ledger

  const LedgerCache& ledger_cache() const { return ledger_cache_; }
  // A row as read, watched or committed; the scheduler hears of it.
  void apply(const wire::Row& row);
  void begin_reload() { ledger_cache_.begin_reload(); }
  void end_reload() { ledger_cache_.end_reload(); }
  // The ledger cache holds all changes up to this revision.
  uint64_t ledger_revision() const { return ledger_revision_; }
  void set_ledger_revision(uint64_t revision) { ledger_revision_ = revision; }
  // Those of the ledger, or else of the cloud; empty: unknown.
  std::vector<MachineType> machine_types() const;
  bool machine_types_known() const;
  void set_cloud_types(std::vector<MachineType> types) { cloud_types_ = std::move(types); }

  // -- siblings

  // The highest fencing token known of, and its leader's label (empty: none known).
  uint64_t known_token() const;
  const std::string& known_leader() const { return known_leader_; }
  // Somebody holds, or held, that token. False: no news.
  bool learn_leader(uint64_t fencing_token, const std::string& leader);
  // The same, where the leader's label is not told.
  void learn_token(uint64_t fencing_token);
  void on_sibling_heard(double now) { sibling_heard_at_ = now; }
  // No sibling was heard lately, nor does the state service answer.
  bool is_isolated(double now) const;
  // Which images machines hold, as the leader of that token said; a hint for its successor.
  void learn_image_locations(const nlohmann::json& locations, uint64_t fencing_token);

  // -- cancellations (docs/design.md)

  CancellationGate& cancellation_gate() { return cancellation_gate_; }
  CancellationStaleness& cancellation_staleness() { return cancellation_staleness_; }
  // Whether, as a leader, it may keep workers' leases alive: its proof of having heard all
  // cancellations is fresh enough (leadership/cancellations.h).
  bool knows_cancellations(double now) const;
  // Whether a sibling that the mesh does not reach may wait to learn how far the leader has read.
  bool must_publish_read_to(double now) const;
  void on_read_to_published(double now) { read_to_published_at_ = now; }

  // -- limits of the state service

  net::WriteShare& write_share() { return write_share_; }
  // Applies this replica's share of the changes a second, by demand as far as it is known.
  void update_write_share(double now);
  bool sizes_lowered() const { return sizes_lowered_; }
  // The state service takes less at once than before, as a sibling has seen.
  void lower_sizes();
  // The scheduler has seen the same.
  void on_sizes_lowered() { sizes_lowered_ = true; }

 private:
  void set_role(Role to, const std::string& why);  // the only place that changes it

  const Config& config_;
  state::RateLimiters& state_limiters_;
  net::RateLimiter& cloud_limiter_;
  const Reachability& reachability_;
  Wakeups& wakeups_;

  Role role_ = Role::follower;
  double cooldown_until_ = 0;
  std::unique_ptr<Scheduler> scheduler_;
  uint64_t fencing_token_ = 0;
  LeaseClock lease_clock_;

  LedgerCache ledger_cache_;
  uint64_t ledger_revision_ = 0;
  std::vector<MachineType> cloud_types_;

  uint64_t highest_token_ = 0;
  std::string known_leader_;
  double sibling_heard_at_ = -1e9;
  nlohmann::json image_locations_;
  uint64_t image_locations_token_ = 0;  // of the leader that sent them; 0: none

  CancellationGate cancellation_gate_;
  CancellationStaleness cancellation_staleness_;
  double read_to_published_at_ = -1e9;

  net::WriteShare write_share_;
  bool sizes_lowered_ = false;
};

}  // namespace rookdyke
