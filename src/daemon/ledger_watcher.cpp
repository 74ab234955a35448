#include "daemon/ledger_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr int kRowsPerReloadBatch = 500;
constexpr double kWatchRequestShare = 0.45;  // of this controller's request rate limit
constexpr double kMinReadIntervalS = 0.02;
// Delay after a failed watch or reload; the next call of ReadBarrier::wait ends it early.
constexpr double kWatchRetryDelayS = 0.15;
constexpr double kReloadRetryDelayS = 0.3;
// After this long without a response to a watch, the ledger's revision is read first. If it is
// ahead by more than kMaxRevisionLag, the ledger is reloaded instead of watched.
constexpr double kRevisionCheckAfterS = 3;
constexpr uint64_t kMaxRevisionLag = 200;

}  // namespace

LedgerWatcher::LedgerWatcher(const Config& config, SharedState& shared,
                             state::RateLimiters& limiters, ReadBarrier& read_barrier,
                             Reachability& reachability)
    : config_(config),
      shared_(shared),
      read_barrier_(read_barrier),
      reachability_(reachability),
      client_(config.state, limiters) {}

void LedgerWatcher::run() {
  while (!shared_.stopping()) {
    wait_for_next_read();
    const ReadBarrier::ReadId read = read_barrier_.begin_read();
    if (shared_.stopping()) return;
    read_and_watch(read);
  }
}

// Waits until a caller waits for a barrier or the watch interval has elapsed, but at least as long
// as this controller's share of the request rate limit requires.
void LedgerWatcher::wait_for_next_read() {
  const bool leads = shared_.lock()->leads();
  const double interval = leads ? config_.leader_watch_s : config_.follower_watch_s;
  const double request_share =
      leads ? kLeaderRequestShare : (1 - kLeaderRequestShare) / std::max(1, config_.nodes - 1);
  const double min_interval =
      std::max(kMinReadIntervalS, 1 / (kWatchRequestShare * request_share * config_.state_rps));
  const double due_in_s = last_read_at_ + interval - steady_now();
  if (loaded_ && due_in_s > 0) read_barrier_.wait_for_caller(due_in_s);
  const double allowed_in_s = last_read_at_ + min_interval - steady_now();
  if (allowed_in_s > 0 && !shared_.stopping())
    std::this_thread::sleep_for(std::chrono::duration<double>(allowed_in_s));
}

void LedgerWatcher::read_and_watch(ReadBarrier::ReadId read) {
  using Kind = state::Client::Watch::Kind;
  last_read_at_ = steady_now();
  const bool is_loaded = reload_if_needed();
  // The watch also returns the rows that changed while a reload was reading its batches.
  state::Client::Watch watch;
  const double sent_at = steady_now();
  if (is_loaded) watch = client_.watch(ledger::kPrefix, revision_, 0);
  switch (watch.kind) {
    case Kind::too_old:
      spdlog::warn("ledger: changes since revision {} are no longer available, reloading",
                   revision_);
      loaded_ = false;
      break;  // callers of the barrier wait for the next read
    case Kind::events:
      last_response_at_ = steady_now();
      read_barrier_.on_response();
      apply_changes(watch.rows, sent_at);
      read_barrier_.on_read_applied(read);
      break;
    case Kind::failed:
      read_barrier_.on_read_failed(read, loaded_ ? kWatchRetryDelayS : kReloadRetryDelayS);
      break;
  }
}

// Loads all rows if they are not loaded yet or the ledger is too far ahead. Returns false if the
// state service did not respond.
//
// The response to a watch contains every change since the given revision, however large: the
// changes of a two-minute partition need more memory than a controller has. The current rows fit.
// Therefore, after a long time without a response, the revision of the ledger is checked before the
// watch.
bool LedgerWatcher::reload_if_needed() {
  if (loaded_ && steady_now() - last_response_at_ > kRevisionCheckAfterS) {
    const auto head = client_.range(ledger::kPrefix, "", 1);
    if (!head) return false;
    if (head->revision > revision_ + kMaxRevisionLag) {
      spdlog::info("ledger cache is {} revisions behind, reloading", head->revision - revision_);
      loaded_ = false;
    }
  }
  if (!loaded_) loaded_ = reload();
  return loaded_;
}

// Reads all rows in batches, so that at most one batch is in memory at a time. No read barrier
// completes while the ledger cache is partially loaded: the watch that follows completes them.
bool LedgerWatcher::reload() {
  std::string after;
  uint64_t first_revision = 0;
  size_t rows = 0;
  shared_.lock()->begin_reload();
  while (true) {
    const auto batch = client_.range(ledger::kPrefix, after, kRowsPerReloadBatch);
    if (!batch) return false;
    if (first_revision == 0) first_revision = batch->revision;
    if (!batch->rows.empty()) after = batch->rows.back().key;
    rows += batch->rows.size();
    auto state = shared_.lock();
    for (const wire::Row& row : batch->rows) state->apply(row);
    if (!batch->more || batch->rows.empty()) break;
  }
  auto state = shared_.lock();
  state->end_reload();
  // Later batches may contain later changes; the watch from the first batch's revision returns
  // those again.
  revision_ = first_revision;
  state->set_ledger_revision(revision_);
  spdlog::info("ledger loaded: {} rows at revision {}", rows, first_revision);
  return true;
}

// Applies the changes returned by a watch that was sent at `sent_at`.
void LedgerWatcher::apply_changes(const wire::Rows& changes, double sent_at) {
  auto state = shared_.lock();
  for (const wire::Row& row : changes.rows) state->apply(row);
  const double now = steady_now();
  revision_ = std::max(revision_, changes.revision);
  state->set_ledger_revision(revision_);
  reachability_.on_state_service_response(now);
  reachability_.on_ledger_loaded();
  const LedgerCache& ledger = state->ledger_cache();
  if (!ledger.leader().empty())
    state->update_known_leader(ledger.leader_version(), ledger.leader());
  const Scheduler* scheduler = state->scheduler();
  if (scheduler && scheduler->needs_round()) shared_.wakeups().scheduling.notify_one();
  state->cancellation_staleness().advance_to(sent_at);
  if (state->leads() && ledger.leader_version() > state->fencing_token())
    state->step_down(Role::follower, "another controller holds the leader key");
  CancellationGate& gate = state->cancellation_gate();
  if (state->leads()) gate.on_leader_read(revision_);
  gate.on_leader_read(ledger.read_to());
  if (state->must_publish_read_revision(now)) gate.wake_notifier();
  if (!state->leads() && ledger.leader().empty()) shared_.wakeups().election.notify_all();
}

}  // namespace rookdyke
