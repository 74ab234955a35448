#include "daemon/ledger_watcher.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>

#include "net/steady_clock.h"

namespace rookdyke {

namespace {

constexpr int kRowsPerPage = 500;       // of a reload
constexpr double kWatchShare = 0.45;    // of this replica's requests to the state service
constexpr double kShortestGapS = 0.02;  // between two reads
// A failed read is followed by the next one after this time, or at the next call for a barrier.
constexpr double kWatchRetryS = 0.15;
constexpr double kReloadRetryS = 0.3;
// After this long without an answer the ledger is asked for its revision; beyond so many changes
// it is reloaded.
constexpr double kLongSilenceS = 3;
constexpr uint64_t kMaxChangesBehind = 200;

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
    const ReadBarrier::Read read = read_barrier_.begin_read();
    if (shared_.stopping()) return;
    read_and_watch(read);
  }
}

// Until a caller waits or the interval is over, but no sooner than this replica's share of the
// requests allows.
void LedgerWatcher::wait_for_next_read() {
  const bool leads = shared_.lock()->leads();
  const double interval = leads ? config_.leader_watch_s : config_.follower_watch_s;
  const double request_share =
      leads ? kLeaderRequestShare : (1 - kLeaderRequestShare) / std::max(1, config_.nodes - 1);
  const double gap = std::max(kShortestGapS, 1 / (kWatchShare * request_share * config_.state_rps));
  const double until_due = read_at_ + interval - steady_now();
  if (loaded_ && until_due > 0) read_barrier_.wait_for_caller(until_due);
  const double until_allowed = read_at_ + gap - steady_now();
  if (until_allowed > 0 && !shared_.stopping())
    std::this_thread::sleep_for(std::chrono::duration<double>(until_allowed));
}

void LedgerWatcher::read_and_watch(ReadBarrier::Read read) {
  using Kind = state::Client::Watch::Kind;
  read_at_ = steady_now();
  const bool reachable = read_rows_if_needed();
  // The watch catches up with what changed between the pages of a reload.
  state::Client::Watch watch;
  const double sent = steady_now();
  if (reachable) watch = client_.watch(ledger::kPrefix, revision_, 0);
  switch (watch.kind) {
    case Kind::too_old:
      spdlog::warn("ledger: watch from revision {} is too old, reloading", revision_);
      loaded_ = false;
      break;  // the callers wait for the next read
    case Kind::events:
      answered_at_ = steady_now();
      read_barrier_.answered();
      apply_changes(watch.rows, sent);
      read_barrier_.succeeded(read);
      break;
    case Kind::failed:
      read_barrier_.failed(read, loaded_ ? kWatchRetryS : kReloadRetryS);
      break;
  }
}

// Reads all rows if none were read yet, or if too much has changed since. False: the ledger did not
// answer.
//
// A watch answers with all changes since, whatever their size: those of a partition of two minutes
// take more memory than a controller has (docs/rounds.md, round 20). The rows as they are do not;
// so a watcher that was long without an answer asks first how far the ledger is ahead.
bool LedgerWatcher::read_rows_if_needed() {
  if (loaded_ && steady_now() - answered_at_ > kLongSilenceS) {
    const auto head = client_.range(ledger::kPrefix, "", 1);
    if (!head) return false;
    if (head->revision > revision_ + kMaxChangesBehind) {
      spdlog::info("ledger: {} changes behind, reloading", head->revision - revision_);
      loaded_ = false;
    }
  }
  if (!loaded_) loaded_ = reload();
  return loaded_;
}

// Page by page, so that no more than one is in memory at a time. No barrier is answered from what
// the ledger cache shows meanwhile: the watch that follows answers the next one.
bool LedgerWatcher::reload() {
  std::string after;
  uint64_t first_revision = 0;
  size_t rows = 0;
  shared_.lock()->begin_reload();
  while (true) {
    const auto page = client_.range(ledger::kPrefix, after, kRowsPerPage);
    if (!page) return false;
    if (first_revision == 0) first_revision = page->revision;
    if (!page->rows.empty()) after = page->rows.back().key;
    rows += page->rows.size();
    auto state = shared_.lock();
    for (const wire::Row& row : page->rows) state->apply(row);
    if (!page->more || page->rows.empty()) break;
  }
  auto state = shared_.lock();
  state->end_reload();
  // Later pages may show later changes; the watch from the first page's revision repeats them.
  revision_ = first_revision;
  state->set_ledger_revision(revision_);
  spdlog::info("ledger loaded: {} rows at revision {}", rows, first_revision);
  return true;
}

// `sent`: when the watch was sent that this answers.
void LedgerWatcher::apply_changes(const wire::Rows& changes, double sent) {
  auto state = shared_.lock();
  for (const wire::Row& row : changes.rows) state->apply(row);
  const double now = steady_now();
  revision_ = std::max(revision_, changes.revision);
  state->set_ledger_revision(revision_);
  reachability_.on_state_service_response(now);
  reachability_.on_ledger_loaded();
  const LedgerCache& ledger = state->ledger_cache();
  if (!ledger.leader().empty()) state->learn_leader(ledger.leader_version(), ledger.leader());
  const Scheduler* scheduler = state->scheduler();
  if (scheduler && scheduler->needs_round()) shared_.wakeups().scheduling.notify_one();
  state->cancellation_staleness().advance_to(sent);
  if (state->leads() && ledger.leader_version() > state->fencing_token())
    state->step_down(Role::follower, "the leader key is another's");
  CancellationGate& gate = state->cancellation_gate();
  if (state->leads()) gate.on_leader_read(revision_);
  gate.on_leader_read(ledger.read_to());
  if (state->must_publish_read_to(now)) gate.wake_notifier();
  if (!state->leads() && ledger.leader().empty()) shared_.wakeups().election.notify_all();
}

}  // namespace rookdyke
