// What a worker does with the commands it is sent, and what becomes of its tasks.

#include <algorithm>

#include "simulation/worker.h"
#include "simulation/world.h"

namespace rookdyke::test {

namespace {
constexpr double kEarlyFailure = 0.5;  // seconds after which a faulty task fails
constexpr double kJustRented = 2;      // seconds
}  // namespace

// ---- commands

std::optional<Heartbeat> Worker::direct(uint64_t fencing_token, uint64_t epoch,
                                        const std::vector<WorkerCommand>& commands) {
  if (terminated || !up || world_.clock.now < deaf_until) return std::nullopt;
  const ReceivedCommands received{fencing_token, epoch, commands, world_.network.sent_at()};
  if (hung) {
    received_while_hung_.push_back(received);
    return std::nullopt;
  }
  if (execute_direct(received)) repeat_later(received);
  return make_heartbeat();
}

// Whether the commands were executed.
bool Worker::execute_direct(const ReceivedCommands& received) {
  if (terminated) return false;
  const SimController* leader = world_.leader();
  if (received.fencing_token < fencing_token_ && leader &&
      received.fencing_token < leader->fencing_token())
    world_.record_event("command_of_earlier_leader");
  if (received.fencing_token < fencing_token_ || received.epoch != epoch_) return false;
  adopt_token(received.fencing_token);
  execute(received.commands, received.ordered_at);
  return true;
}

void Worker::repeat_later(const ReceivedCommands& received) {
  if (world_.chance() >= world_.faults.repeated_commands) return;
  world_.clock.after(world_.faults.repeated_commands_s * world_.chance(), [this, received] {
    if (terminated || hung) return;
    const bool executed = execute_direct(received);
    world_.record_event(executed ? "repeated_command_executed" : "repeated_command_refused");
  });
}

void Worker::execute(const std::vector<WorkerCommand>& commands, double ordered_at) {
  for (const WorkerCommand& command : commands) {
    switch (command.kind) {
      case CommandKind::start:
        start_task(command, ordered_at);
        break;
      case CommandKind::stop:
        stop_task(command);
        break;
      case CommandKind::forget:
        forget_task(command);
        break;
    }
  }
}

void Worker::start_task(const WorkerCommand& command, double ordered_at) {
  const TaskKey key{command.job, command.task};
  if (auto it = tasks.find(key); it != tasks.end()) {
    if (it->second.attempt == command.attempt) return;
    // insufficient_resources would hide the older attempt here.
    if (it->second.phase != TaskPhase::exited) return;
  }
  Task t;
  t.attempt = command.attempt;
  t.ordered_at = ordered_at;
  t.cause = reason_not_to_start(command);
  if (t.cause != ExitCause::none) t.phase = TaskPhase::exited;
  tasks[key] = t;
  if (t.phase != TaskPhase::exited) fetch_image(key, t.attempt);
  on_change();
}

ExitCause Worker::reason_not_to_start(const WorkerCommand& command) const {
  if (tasks.count({command.job, command.task})) return ExitCause::already_present;
  const auto& jobs = world_.users.jobs;
  auto job = jobs.find(command.job);
  if (job == jobs.end() || command.task >= job->second.spec.tasks) return ExitCause::unknown_task;
  if (!has_room_for(job->second.spec.per_task)) return ExitCause::insufficient_resources;
  return ExitCause::none;
}

bool Worker::has_room_for(const Resources& wanted) const {
  Resources used;
  for (const auto& [key, t] : tasks)
    if (t.phase != TaskPhase::exited) used += world_.users.jobs.at(key.job).spec.per_task;
  Resources room = type.size;
  room -= used;
  return wanted.fits_in(room);
}

void Worker::fetch_image(const TaskKey& key, uint64_t attempt) {
  const JobSpec& spec = world_.users.jobs.at(key.job).spec;
  const double fetch_s = images_.count(spec.image) ? kSoon : spec.image_gb / type.fetch_gb_per_s;
  world_.clock.after(fetch_s, [this, key, attempt] {
    auto it = tasks.find(key);
    if (terminated || it == tasks.end()) return;
    if (it->second.attempt != attempt || it->second.phase != TaskPhase::fetching) return;
    begin(key);
  });
}

void Worker::stop_task(const WorkerCommand& command) {
  const TaskKey key{command.job, command.task};
  auto it = tasks.find(key);
  if (it == tasks.end() || it->second.attempt != command.attempt) return;
  const TaskPhase phase = it->second.phase;
  if (phase == TaskPhase::exited) return;
  const UserJob& job = world_.users.jobs.at(command.job);
  const bool saves = phase == TaskPhase::running && job.spec.checkpoint_interval_s > 0 &&
                     command.grace_s >= job.spec.checkpoint_duration_s;
  if (saves)
    checkpoint(key, job);
  else if (phase != TaskPhase::checkpointing || command.grace_s <= 0)
    leave(key, ExitCause::stopped, false);
}

void Worker::forget_task(const WorkerCommand& command) {
  auto it = tasks.find({command.job, command.task});
  if (it != tasks.end() && it->second.attempt == command.attempt &&
      it->second.phase == TaskPhase::exited)
    tasks.erase(it);
}

// ---- tasks

void Worker::after_step(const TaskKey& key, double s,
                        const std::function<void(const Task&)>& then) {
  const uint64_t step = tasks.at(key).step = world_.new_step();
  world_.clock.after(s, [this, key, step, then] {
    auto it = tasks.find(key);
    if (terminated || it == tasks.end() || it->second.step != step) return;
    then(it->second);
  });
}

void Worker::end_after(const TaskKey& key, double s, ExitCause why) {
  after_step(key, s, [this, key, why](const Task&) { leave(key, why, false); });
}

void Worker::checkpoint(const TaskKey& key, const UserJob& job) {
  Task& t = tasks.at(key);
  t.phase = TaskPhase::checkpointing;
  const double made_s = world_.clock.now - t.began;
  if (job.spec.shape == JobShape::gang) world_.gangs.on_member_lost(key.job, t.attempt);
  after_step(key, job.spec.checkpoint_duration_s, [this, key, made_s](const Task& saved) {
    save_progress(key, saved.attempt, made_s);
    leave(key, ExitCause::stopped, true);
  });
  on_change();
}

void Worker::save_progress(const TaskKey& key, uint64_t attempt, double made_s) {
  UserJob& job = world_.users.jobs.at(key.job);
  if (job.spec.shape != JobShape::gang) {
    job.progress[key.task] += made_s;
    return;
  }
  // A gang's progress is safe for all once the first has saved.
  if (!job.saved_attempts.insert(attempt).second) return;
  for (uint32_t t = 0; t < job.spec.tasks; ++t) job.progress[t] += made_s;
}

void Worker::begin(const TaskKey& key) {
  Task& t = tasks.at(key);
  UserJob& job = world_.users.jobs.at(key.job);
  const double now = world_.clock.now;
  images_.insert(job.spec.image);
  world_.checker.starts(now, key.job, key.task, {name, type.name, zone, spot}, t.ordered_at);
  if (now - rented_at < kJustRented) world_.record_event("started_within_two_seconds");
  ++job.starts;
  if (job.first_start < 0) job.first_start = now;
  const bool was_done = job.done.count(key.task);
  if (job.spec.shape == JobShape::gang && job.spec.tasks > 1 && !was_done) {
    t.phase = TaskPhase::gang_waiting;
    end_after(key, world_.settings.gang_wait_s, ExitCause::gang_timeout);
    world_.gangs.on_member_waiting(key.job, t.attempt);
  } else {
    t.phase = TaskPhase::running;
    t.began = now;
    const double left = was_done ? kSoon : std::max(kSoon, job.run_s - job.progress[key.task]);
    if (sick || job.faulty)
      end_after(key, kEarlyFailure, ExitCause::error);
    else if (job.run_s > 0)
      end_after(key, left, ExitCause::done);
    // A service that is given no time runs until it is stopped.
  }
  on_change();
}

void Worker::run_gang_member(const TaskKey& key) {
  UserJob& job = world_.users.jobs.at(key.job);
  Task& t = tasks.at(key);
  t.phase = TaskPhase::running;
  t.began = world_.clock.now;
  const double left = std::max(kSoon, job.run_s - job.progress[key.task]);
  if (sick || job.faulty)
    end_after(key, kEarlyFailure, ExitCause::error);
  else
    end_after(key, left, ExitCause::done);
  on_change();
}

// NOLINTNEXTLINE(performance-unnecessary-value-param): callers name a key that is erased here
void Worker::leave(TaskKey key, ExitCause why, bool saved) {
  auto it = tasks.find(key);
  if (it == tasks.end()) return;
  Task& t = it->second;
  const bool was_on_machine = t.phase != TaskPhase::fetching && t.phase != TaskPhase::exited;
  const bool was_running = t.phase == TaskPhase::running;
  const uint64_t attempt = t.attempt;
  UserJob& job = world_.users.jobs.at(key.job);
  if (was_on_machine) world_.checker.leaves(key.job, key.task, name);
  if (was_running) job.served_s += world_.clock.now - t.began;
  t.step = world_.new_step();
  if (why == ExitCause::none) {
    tasks.erase(it);
  } else {
    t.phase = TaskPhase::exited;
    t.cause = why;
    t.saved = saved;
  }
  if (why == ExitCause::done && job.spec.shape != JobShape::service)
    finish(key);
  else if (was_running && job.spec.shape == JobShape::gang && why != ExitCause::gang_peer_lost)
    world_.gangs.on_member_lost(key.job, attempt);
  if (!terminated) on_change();
}

void Worker::finish(const TaskKey& key) {
  UserJob& job = world_.users.jobs.at(key.job);
  const bool fresh = job.done.insert(key.task).second;
  world_.checker.completed(key.job, key.task);
  if (fresh && job.done.size() == job.spec.tasks) world_.users.on_last_task_ended(key.job);
}

}  // namespace rookdyke::test
