#include "simulation/controller.h"

#include <algorithm>
#include <utility>

#include "simulation/world.h"

namespace rookdyke::test {

using ledger::Outcome;

namespace {
// Seconds.
constexpr double kNever = -1e9;
constexpr double kAfterWaking = 0.001;
constexpr double kRoundInterval = 0.2;
constexpr double kStateTimeout = 1.5, kCloudTimeout = 3, kDirectTimeout = 1;
constexpr double kListInterval = 2;
constexpr double kReadInterval = 0.1, kReadIntervalOfFollower = 0.4;
constexpr double kCooldownWithoutHeartbeats = 12;
}  // namespace

SimController::SimController(World& world, size_t index)
    : world_(world),
      index_(index),
      label_("node-" + std::to_string(index)),
      place_(controller_place(index)) {}

// ---- the process

void SimController::reset() {
  ledger_cache_ = LedgerCache();
  revision_ = 0;
  loaded_ = campaigning_ = committing_ = cloud_busy_ = false;
  scheduler_.reset();
  fencing_token_ = lease_ = 0;
  cooldown_until_ = 0;
  heard_state_ = kNever;
  next_list_ = next_renewal_ = 0;
  waiting_.clear();
  heard_peer_ = world_.clock.now;
  frozen_until = -1;
  lease_clock_ = LeaseClock(world_.clock.now);
  known_cancellations_ = {};
  highest_token_ = 0;
}

void SimController::boot() {
  alive = true;
  ++life_;
  reset();
  std::vector<std::string> peers;
  for (const auto& c : world_.controllers)
    if (c.get() != this) peers.push_back(c->label_);
  cancellation_staleness_ = peers.empty() ? CancellationStaleness::of_only_controller()
                                          : CancellationStaleness(std::move(peers));
  check_stall();
  read_ledger();
  maintain_leadership();
  run_round();
  exchange_views();
}

void SimController::crash() {
  alive = false;
  ++life_;
  scheduler_.reset();
  waiting_.clear();
}

void SimController::freeze(double s) { frozen_until = world_.clock.now + s; }

// The timers of a frozen process fire when it wakes.
void SimController::later(double s, void (SimController::*loop)()) {
  const double when = std::max(world_.clock.now + s, frozen_until + kAfterWaking);
  world_.clock.at(when, [this, life = life_, loop] {
    if (life != life_) return;
    if (world_.clock.now < frozen_until) return later(0, loop);
    (this->*loop)();
  });
}

void SimController::call(const std::string& to, double timeout, const std::function<void()>& served,
                         const std::function<void(bool)>& done) {
  world_.network.call(place_, to, timeout, served, [this, life = life_, done](bool ok) {
    if (life == life_) done(ok);
  });
}

// ---- the ledger

void SimController::barrier(std::function<void(bool)> then) { waiting_.push_back(std::move(then)); }

void SimController::read_ledger() {
  auto read = std::make_shared<LedgerRead>();
  read->sent = world_.clock.now;
  read->from = revision_;
  read->waiting = std::exchange(waiting_, {});
  call(
      kStatePlace, kStateTimeout,
      [this, read] {
        if (world_.store.outage || read->ok) return;
        read->ok = true;
        read->events = world_.store.since(read->from);
        read->revision = world_.store.revision;
      },
      [this, read, life = life_](bool answered) {
        const bool ok = answered && read->ok;
        if (ok) on_ledger_read(*read);
        for (const auto& then : read->waiting) then(ok);
        if (life != life_) return;
        const bool hurry = scheduler_ || !waiting_.empty();
        later(hurry ? kReadInterval : kReadIntervalOfFollower, &SimController::read_ledger);
      });
}

void SimController::on_ledger_read(const LedgerRead& read) {
  for (const Store::Event& event : read.events) apply(event);
  revision_ = std::max(revision_, read.revision);
  heard_state_ = world_.clock.now;
  loaded_ = true;
  cancellation_staleness_.advance_to(read.sent);
  if (!ledger_cache_.leader().empty())
    highest_token_ = std::max(highest_token_, ledger_cache_.leader_version());
  if (scheduler_ && ledger_cache_.leader_version() > fencing_token_) step_down();
  if (scheduler_) known_cancellations_.on_leader_read(revision_);
}

void SimController::apply(const Store::Event& event) {
  if (event.deleted) {
    ledger_cache_.erase(event.key, event.version);
    return;
  }
  ledger_cache_.put(event.key, event.value, event.version);
  const std::string prefix = ledger::kJobPrefix;
  if (!scheduler_ || event.key.rfind(prefix, 0) != 0) return;
  const std::string id = event.key.substr(prefix.size());
  scheduler_->on_job_row(*ledger_cache_.job(id), id, world_.clock.now);
}

// ---- what a leader does

void SimController::run_round() {
  if (scheduler_ && scheduler_->has_lost_leadership()) step_down();
  if (may_decide()) {
    if (scheduler_->receives_no_heartbeats(world_.clock.now))
      step_down(kCooldownWithoutHeartbeats);
    else
      scheduler_->round(world_.clock.now);
  } else if (lease_state_is_current()) {
    scheduler_->terminate_machines_with_cancelled_tasks(world_.clock.now);
  }
  commit();
  send_direct_commands();
  call_cloud();
  later(kRoundInterval, &SimController::run_round);
}

// A repeated transaction that meets a conflict may have been executed before: then the row that
// `marked` writes bears its id.
ledger::Result SimController::execute(Store& store, const ledger::Transaction& t, bool resend,
                                      const ledger::Change* marked) {
  ledger::Result result = store.commit(t);
  if (!resend || result.outcome != Outcome::conflict || !marked) return result;
  const Store::Entry* row = store.get(marked->key);
  if (!row || row->value.value("w", "") != t.transaction_id) return result;
  result.outcome = Outcome::applied;
  result.revision = row->version;
  return result;
}

void SimController::commit() {
  if (!may_decide() || committing_) return;
  auto pending = scheduler_->next_transaction(world_.clock.now);
  if (!pending) return;
  committing_ = true;
  struct Answer {
    bool given = false;
    ledger::Result result;
  };
  auto answer = std::make_shared<Answer>();
  call(
      kStatePlace, kStateTimeout,
      [this, pending, answer] {
        const auto& changes = pending->transaction.changes;
        const auto written = std::find_if(changes.begin(), changes.end(),
                                          [](const ledger::Change& c) { return !c.erase; });
        const ledger::Change* marked = written == changes.end() ? nullptr : &*written;
        const auto result = execute(world_.store, pending->transaction, pending->resend, marked);
        if (!std::exchange(answer->given, true)) answer->result = result;
      },
      [this, pending, answer, fencing_token = fencing_token_](bool ok) {
        committing_ = false;
        if (!leads_with(fencing_token)) return;
        const ledger::Result indeterminate;
        scheduler_->on_result(pending->id, ok ? answer->result : indeterminate, world_.clock.now);
        commit();
      });
}

void SimController::send_direct_commands() {
  if (!may_decide()) return;
  while (auto command = scheduler_->next_direct_command(world_.clock.now))
    send_direct_command(*command);
}

void SimController::send_direct_command(const DirectCommand& command) {
  const std::string machine = command.addr.substr(std::string("worker-").size());
  auto answer = std::make_shared<std::optional<Heartbeat>>();
  call(
      machine, kDirectTimeout,
      [this, command, machine, answer] {
        Worker& worker = *world_.cloud.workers.at(machine);
        auto heartbeat = worker.direct(command.fencing_token, command.epoch, command.commands);
        if (!*answer) *answer = heartbeat;
      },
      [this, command, fencing_token = fencing_token_, answer](bool ok) {
        if (!leads_with(fencing_token)) return;
        scheduler_->on_direct_command_result(command, ok && *answer, ok ? *answer : std::nullopt,
                                             world_.clock.now);
      });
}

// One call at a time: returns go first, then rentals.
void SimController::call_cloud() {
  if (!lease_state_is_current() || cloud_busy_) return;
  const double now = world_.clock.now;
  const bool doubtful = !may_decide();
  if (auto names = scheduler_->next_return(now, doubtful); !names.empty()) {
    return_machines(names);
    return;
  }
  if (doubtful) return;
  if (auto request = scheduler_->next_rental_request(now))
    rent(*request);
  else if (now >= next_list_)
    list_machines();
}

void SimController::return_machines(const std::vector<std::string>& names) {
  cloud_busy_ = true;
  auto outcome = std::make_shared<CloudOutcome>(CloudOutcome::refused);
  call(
      kCloudPlace, kCloudTimeout,
      [this, names, outcome] {
        if (world_.cloud.outage) return;
        world_.cloud.return_machines(names);
        *outcome = CloudOutcome::done;
      },
      [this, names, outcome, fencing_token = fencing_token_](bool ok) {
        cloud_busy_ = false;
        if (leads_with(fencing_token))
          scheduler_->on_return_result(names, ok ? *outcome : CloudOutcome::indeterminate,
                                       world_.clock.now);
      });
}

void SimController::rent(const RentalRequest& request) {
  cloud_busy_ = true;
  auto answer = std::make_shared<Cloud::RentalAnswer>();
  call(
      kCloudPlace, kCloudTimeout, [this, request, answer] { *answer = world_.cloud.rent(request); },
      [this, request, answer, fencing_token = fencing_token_](bool ok) {
        cloud_busy_ = false;
        if (leads_with(fencing_token))
          scheduler_->on_rental_result(request, ok ? answer->outcome : CloudOutcome::indeterminate,
                                       answer->names, world_.clock.now);
      });
}

void SimController::list_machines() {
  cloud_busy_ = true;
  const double asked = world_.clock.now;
  next_list_ = asked + kListInterval;
  auto machines = std::make_shared<std::vector<ListedMachine>>();
  call(
      kCloudPlace, kCloudTimeout, [this, machines] { *machines = world_.cloud.list(); },
      [this, machines, fencing_token = fencing_token_, asked](bool ok) {
        cloud_busy_ = false;
        if (ok && !world_.cloud.outage && leads_with(fencing_token))
          scheduler_->on_machine_list(*machines, asked, world_.clock.now);
      });
}

}  // namespace rookdyke::test
