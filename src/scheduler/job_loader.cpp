#include "scheduler/job_loader.h"

#include <spdlog/spdlog.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace rookdyke {

namespace {

// Consecutive tasks whose state is taken from `chunk`, up to `end` (exclusive). The first task is
// the slice's key in ChunkSlices.
struct ChunkSlice {
  uint32_t end = 0;
  const CachedChunk* chunk = nullptr;
};
using ChunkSlices = std::map<uint32_t, ChunkSlice>;  // by first task, disjoint

// The tasks that a page's entry holds; nullopt if they are not within the job's chunk `key.n`.
std::optional<ledger::TaskRange> tasks_of(const Job& job, const ChunkKey& key,
                                          const CachedChunk& chunk) {
  const uint64_t begin = uint64_t{key.n} * job.chunk_size;
  const uint64_t end = std::min<uint64_t>(job.tasks(), begin + job.chunk_size);
  if (begin >= end) return std::nullopt;
  if (!chunk.range)
    return ledger::TaskRange{static_cast<uint32_t>(begin), static_cast<uint32_t>(end - begin)};
  if (chunk.range->first < begin || uint64_t{chunk.range->first} + chunk.range->count > end)
    return std::nullopt;
  return chunk.range;
}

// Adds a slice and cuts the tasks that it covers out of the slices that are already present.
void overlay(ChunkSlices& slices, uint32_t first, ChunkSlice slice) {
  auto it = slices.upper_bound(first);
  if (it != slices.begin()) --it;
  while (it != slices.end() && it->first < slice.end) {
    const auto [old_first, old] = *it;
    if (old.end <= first) {
      ++it;
      continue;
    }
    it = slices.erase(it);
    if (old_first < first) slices[old_first] = {first, old.chunk};
    if (old.end > slice.end) it = slices.insert({slice.end, old}).first;
  }
  slices[first] = slice;
}

// Logs how many ranges of done tasks and attempts of a chunk extend outside it. load_tasks()
// ignores the tasks outside.
void log_tasks_outside_chunk(const Job& job, const ChunkKey& key, const CachedChunk& cached,
                             const ledger::TaskRange& tasks) {
  const uint32_t end = tasks.first + tasks.count;
  size_t outside = 0;
  for (const auto& [a, b] : cached.chunk.done.ranges()) outside += a < tasks.first || b >= end;
  for (const ledger::LiveAttempt& live : cached.chunk.live)
    outside += live.task < tasks.first || live.task >= end;
  if (outside > 0)
    spdlog::error("ledger: chunk {} of job {}: {} done ranges or attempts extend outside the chunk",
                  key.n, job.spec.id, outside);
}

// Determines which page entry holds the valid state of each task. If several pages hold the same
// task, the page that was written last takes precedence (ledger/rows.h).
ChunkSlices latest_slices(Job& job, const CachedJob& row) {
  std::vector<std::pair<const ChunkKey*, const CachedChunk*>> by_version;
  for (const auto& [key, chunk] : row.chunks) by_version.emplace_back(&key, &chunk);
  std::stable_sort(by_version.begin(), by_version.end(), [](const auto& a, const auto& b) {
    return a.second->version < b.second->version;
  });
  ChunkSlices slices;
  for (const auto& [key, cached] : by_version) {
    const auto tasks = tasks_of(job, *key, *cached);
    if (!tasks) {
      spdlog::error(
          "ledger: job {}: ignored chunk {}, because its tasks lie outside the chunk or the job",
          job.spec.id, key->n);
      continue;
    }
    job.highest_attempt = std::max(job.highest_attempt, cached->chunk.highest_attempt);
    overlay(slices, tasks->first, {tasks->first + tasks->count, cached});
    log_tasks_outside_chunk(job, *key, *cached, *tasks);
  }
  return slices;
}

}  // namespace

// ---------------------------------------------------------------- adding a job

Job& JobLoader::add_job(const CachedJob& row, const std::string& id, double now) {
  Job& job = jobs_.add(id);
  if (row.row.spec) job.spec = *row.row.spec;
  job.spec.id = id;
  job.spec.tasks = row.row.tasks;
  job.version = row.version;
  job.timestamp_s = row.row.timestamp_s;
  job.accepted_at = now;
  if (time_of_day_offset_) job.accepted_at = std::min(now, job.timestamp_s - *time_of_day_offset_);
  job.chunk_size = std::max(1u, row.row.chunk_size);
  resolve_names(job);
  add_start_objectives(job);
  load_chunks(job, row, now);
  job.done_count = job.done.count();
  for (const MachineType& type : catalog_.types) {
    const double share = job.spec.per_task.dominant_share(type.size);
    if (job.min_machine_share == 0 || share < job.min_machine_share) job.min_machine_share = share;
  }
  if (row.row.status == ledger::JobStatus::open) collect_waiting_tasks(job, row.version);
  return job;
}

void JobLoader::resolve_names(Job& job) {
  const JobSpec& spec = job.spec;
  job.job_class = catalog_.job_classes.intern(spec.job_class);
  job.team = catalog_.teams.intern(spec.team);
  job.image = catalog_.images.intern(spec.image);
  if (!spec.zone.empty()) job.zone = catalog_.zones.intern(spec.zone);
  if (spec.types.empty()) return;
  job.types.assign(catalog_.types.size(), false);
  for (const std::string& name : spec.types)
    if (const Index type = catalog_.type_names.find(name); type != kNone) job.types[type] = true;
}

void JobLoader::add_start_objectives(Job& job) {
  const double boot_s = catalog_.shortest_boot_s();
  for (const Objective& objective : settings_.objectives) {
    if (!objective.is_start_objective || objective.job_class != job.spec.job_class) continue;
    job.start_objectives_s.push_back(objective.within_s);
    // If the objective is shorter than the boot time, a machine rented for the job would boot too
    // late, so that the job needs a prompt start on capacity that is there already. For a longer
    // objective, the order of jobs in the queue is sufficient.
    job.needs_prompt_start = job.needs_prompt_start || objective.within_s < boot_s;
  }
  std::sort(job.start_objectives_s.begin(), job.start_objectives_s.end());
  // A replica of a service is to start immediately, both the first time and after each loss.
  job.needs_prompt_start = job.needs_prompt_start || job.is_service();
  if (job.needs_prompt_start) catalog_.prompt_start_images.insert(job.image);
}

// `version` is the version of the job's row. A chunk without a page was never written, so that all
// its tasks wait. The exception is a job older than the last write of an unreadable page: that page
// may hold the chunk, and its tasks may be running, so they are not started.
void JobLoader::collect_waiting_tasks(Job& job, uint64_t version) {
  for (const auto& [first, place] : job.chunks) {
    if (place.page == kNone && version < pages_.highest_unreadable_version) {
      job.unreadable_tasks += place.count;
      continue;
    }
    for (uint32_t task = first; task < first + place.count; ++task)
      if (!job.done.has(task) && !job.attempts.count(task))
        job.waiting.insert(job.waiting.end(), task);
  }
  if (job.done_count == job.tasks()) jobs_.mark_completed(job);
}

// Tasks that no page holds were never written; they are split into chunks at multiples of
// chunk_size.
void JobLoader::load_chunks(Job& job, const CachedJob& row, double now) {
  uint32_t next = 0;
  const auto add_unwritten = [&](uint32_t end) {
    for (; next < end; next += job.chunks.at(next).count)
      job.chunks[next] = {std::min(end - next, job.chunk_size - next % job.chunk_size), kNone};
  };
  for (const auto& [first, slice] : latest_slices(job, row)) {
    add_unwritten(first);
    job.chunks[first] = {slice.end - first, kNone};
    Page& page = pages_.get_or_add(slice.chunk->page);
    pages_.add_chunk(job, first, slice.chunk->page);
    page.kind = job.page_kind();
    load_tasks(job, {first, slice.end - first}, slice.chunk->chunk, now);
    next = slice.end;
  }
  add_unwritten(job.tasks());
}

void JobLoader::load_tasks(Job& job, const ledger::TaskRange& tasks, const ledger::Chunk& chunk,
                           double now) {
  const uint32_t end = tasks.first + tasks.count;
  // Replicas of services are never done. Version 0.1 treated services as arrays and wrote some as
  // done, which is ignored.
  if (!job.is_service())
    for (const auto& [a, b] : chunk.done.ranges())
      for (uint32_t task = std::max(a, tasks.first); task < end && task <= b; ++task)
        job.done.add(task);
  for (const ledger::LiveAttempt& live : chunk.live) {
    // Only the first attempt of a task is loaded.
    if (live.task < tasks.first || live.task >= end || job.attempts.count(live.task)) continue;
    lifecycle_.restore(job, live, now);
  }
}

// The cancellation deadline (cancel_s) runs from the time of day in the row, so that a failover
// does not restart it.
void JobLoader::cancel(Job& job, const CachedJob& row, double now) {
  double cancelled_at = now;
  if (time_of_day_offset_ && row.row.timestamp_s > 0)
    cancelled_at = std::min(now, row.row.timestamp_s - *time_of_day_offset_);
  lifecycle_.cancel(job, row.version, cancelled_at);
}

// ---------------------------------------------------------------- takeover

void JobLoader::load_pages(const LedgerCache& ledger) {
  for (const auto& [n, cached] : ledger.pages()) {
    Page& page = pages_.get_or_add(n);
    page.version = cached.version;
    page.readable = cached.readable;
    if (!cached.readable)
      pages_.highest_unreadable_version =
          std::max(pages_.highest_unreadable_version, cached.version);
  }
}

void JobLoader::load(const LedgerCache& ledger, double now) {
  load_pages(ledger);
  for (const auto& [id, row] : ledger.jobs()) load_job(row, id, now);
}

void JobLoader::load_job(const CachedJob& row, const std::string& id, double now) {
  if (row.version == 0 || !row.readable) return keep_unreadable_job(id, row);
  // Entries of a done job are obsolete. Tasks of a cancelled job may still be on machines.
  const ledger::JobStatus status = row.row.status;
  if (status == ledger::JobStatus::done) return;
  if (status == ledger::JobStatus::cancelled && row.chunks.empty()) return;
  Job& job = add_job(row, id, now);
  if (status == ledger::JobStatus::cancelled) return cancel(job, row, now);
  // A gang that was only partly started, or that lost a task, restarts as a whole.
  if (job.is_gang() && !job.attempts.empty() && !job.waiting.empty())
    for (auto& [task, attempt] : job.attempts) lifecycle_.stop(job, attempt, 0);
}

// Keeps the chunks of a job whose row is missing or cannot be decoded unchanged in their pages.
void JobLoader::keep_unreadable_job(const std::string& id, const CachedJob& row) {
  for (const auto& [key, cached] : row.chunks) {
    Page& page = pages_.get_or_add(cached.page);
    page.unreadable_jobs.push_back({id, key.n, cached.chunk, cached.range});
    page.reserved_bytes +=
        ledger::estimated_chunk_size(id, static_cast<uint32_t>(cached.chunk.live.size()));
  }
}

// ---------------------------------------------------------------- changed rows

bool JobLoader::on_job_row(const CachedJob& row, const std::string& id, double now) {
  // A late, older row must not bring back a finished job (rule went_back of tests/checker).
  const Index known = jobs_.index_of(id);
  if (known != kNone && jobs_.was_erased(known)) return false;
  Job* job = jobs_.find(known);
  if (!job) {
    if (row.row.status != ledger::JobStatus::open) return false;
    add_job(row, id, now);
    spdlog::debug("job {}: added with {} tasks of class {}", id, row.row.tasks,
                  row.row.spec->job_class);
    return true;
  }
  if (row.version <= job->version) return false;
  job->stale_since = -1;
  if (row.row.status == ledger::JobStatus::cancelled) {
    cancel(*job, row, now);
  } else if (row.row.status == ledger::JobStatus::done && job->state != JobState::done &&
             job->state != JobState::closing) {
    // Only leaders mark jobs as done. While this leader's own write of that is in flight, the job
    // is in state closing, and the result of the write decides.
    claim_.lose("job " + id + " was marked done by another controller");
  }
  return false;
}

}  // namespace rookdyke
