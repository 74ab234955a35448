#pragma once
// The state that the threads of one controller share, and the state machine of its role. It is
// accessed only through SharedState::lock(), so it takes no locks and never blocks. A leader's term
// is identified by its fencing token; decisions of one term are invalid in any other. All time
// points are seconds of steady_now().

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

// The leader's share of the request rate limit of the state service. The followers divide the rest.
inline constexpr double kLeaderRequestShare = 0.6;

class ControllerState {
 public:
  // All arguments must outlive this object.
  ControllerState(const Config& config, state::RateLimiters& state_limiters,
                  net::RateLimiter& cloud_limiter, const Reachability& reachability,
                  Wakeups& wakeups);

  // -- Role: one function per transition.

  // Must be called once, before the threads start.
  void start(double now);
  // cooldown -> follower, if the cooldown has expired.
  void end_cooldown_if_over(double now);
  // follower -> campaigning, if no controller holds the leader key. Returns whether the role
  // changed.
  bool begin_campaign();
  // campaigning -> follower.
  void abandon_campaign(const std::string& reason);
  // campaigning -> leading: builds the scheduler from the ledger cache.
  void become_leader(uint64_t fencing_token, double now);
  // Handles the outcome of a lease renewal sent at `sent_at`: leading <-> unconfirmed, or
  // -> follower.
  void on_renewal(state::Client::Renewal outcome, double sent_at, double now);
  // Ends this controller's leadership and destroys its scheduler: -> follower or cooldown.
  void step_down(Role to, const std::string& reason);

  Role role() const { return role_; }
  // Whether the role is leading or unconfirmed.
  bool leads() const { return is_leader(role_); }
  // The fencing token of this controller's term; 0 if it does not lead.
  uint64_t fencing_token() const { return fencing_token_; }
  // The scheduler of the current term; null unless this controller leads.
  Scheduler* scheduler() { return scheduler_.get(); }
  // The scheduler of the term with this fencing token; null if that term has ended.
  Scheduler* scheduler_of_term(uint64_t fencing_token);

  // -- Lease. The process may be suspended at any point while its clocks keep running. What was
  // read, decided or queued before a suspension must not be acted on until a lease renewal has been
  // attempted after it.

  // Checks whether this process was suspended. Must be called several times a second.
  void check_for_stall(double now);
  // Records that a lease requested at `sent_at` was granted and the leader key written under it.
  void on_lease_granted(double sent_at) { lease_clock_.on_renewed(sent_at); }
  // Whether the lease of the leader key has not expired (LeaseClock::is_unexpired).
  bool is_lease_unexpired(double now) const;
  // Whether this controller leads, and either its lease has not expired or a renewal was attempted
  // since the process was last suspended. Can be true of an unconfirmed leader.
  bool lease_state_is_current(double now);
  // Whether the role is leading and the lease state is current: this controller may schedule, write
  // and send commands.
  bool may_decide(double now);
  // Whether the role is unconfirmed and the lease state is current: this controller may still stop
  // cancelled work, but must not schedule.
  bool is_unconfirmed_leader(double now);

  // -- Ledger.

  const LedgerCache& ledger_cache() const { return ledger_cache_; }
  // Applies a row that was read, watched or committed, and passes job rows to the scheduler.
  void apply(const wire::Row& row);
  void begin_reload() { ledger_cache_.begin_reload(); }
  void end_reload() { ledger_cache_.end_reload(); }
  // The revision up to which the ledger cache contains all changes.
  uint64_t ledger_revision() const { return ledger_revision_; }
  void set_ledger_revision(uint64_t revision) { ledger_revision_ = revision; }
  // The machine types from the ledger, or from the cloud if the ledger has none; empty if unknown.
  std::vector<MachineType> machine_types() const;
  bool machine_types_known() const;
  void set_cloud_types(std::vector<MachineType> types) { cloud_types_ = std::move(types); }

  // -- Peer controllers.

  // The highest known fencing token, and the label of the last known leader (empty if unknown).
  uint64_t known_token() const;
  const std::string& known_leader() const { return known_leader_; }
  // Records that a controller holds or held this token. Returns false if the token is not higher
  // than the highest one recorded.
  bool update_known_leader(uint64_t fencing_token, const std::string& leader);
  // Records a token whose leader's label is unknown.
  void update_known_token(uint64_t fencing_token);
  void on_peer_contact(double now) { last_peer_contact_ = now; }
  // Whether neither a peer controller nor the state service has been in contact recently.
  bool is_isolated(double now) const;
  // Records which images are cached on which machines, as reported by the leader with this token. A
  // successor uses them as a hint.
  void update_image_locations(const nlohmann::json& locations, uint64_t fencing_token);

  // -- Cancellations (docs/design.md).

  CancellationGate& cancellation_gate() { return cancellation_gate_; }
  CancellationStaleness& cancellation_staleness() { return cancellation_staleness_; }
  // Whether this controller's knowledge of cancellations is no older than staleness_bound()
  // (leadership/cancellations.h). Only then may it extend workers' leases as leader.
  bool is_within_staleness_bound(double now) const;
  // Whether this leader has to write to the ledger the revision up to which it has read it, because
  // a peer controller that is not reachable over the mesh may be waiting for that revision.
  bool must_publish_read_revision(double now) const;
  void on_read_revision_published(double now) { read_revision_published_at_ = now; }

  // -- Limits of the state service.

  net::WriteShare& write_share() { return write_share_; }
  // Recomputes this controller's share of the write rate limit from the known write demands, and
  // applies it.
  void update_write_share(double now);
  bool size_limits_lowered() const { return size_limits_lowered_; }
  // Applies the lowered size limits of the state service (Settings::next_limits) after a peer
  // controller has reported that they are in force.
  void apply_lowered_size_limits();
  // Records that the scheduler has detected the lowered size limits itself.
  void record_lowered_size_limits() { size_limits_lowered_ = true; }

 private:
  void set_role(Role to, const std::string& reason);  // the only function that writes role_

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
  double last_peer_contact_ = -1e9;
  nlohmann::json image_locations_;
  uint64_t image_locations_token_ = 0;  // token of the leader that reported them; 0: none

  CancellationGate cancellation_gate_;
  CancellationStaleness cancellation_staleness_;
  double read_revision_published_at_ = -1e9;

  net::WriteShare write_share_;
  bool size_limits_lowered_ = false;
};

}  // namespace rookdyke
