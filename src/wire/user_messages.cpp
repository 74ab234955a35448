#include "wire/user_messages.h"

#include <algorithm>
#include <array>
#include <string_view>
#include <utility>
#include <vector>

#include "wire/field_names.h"
#include "wire/field_reader.h"

namespace rookdyke::wire {

namespace {

constexpr std::string_view kJobIdPrefix = "wk-";
constexpr size_t kMinJobIdDigits = 6;
constexpr size_t kMaxJobIdDigits = 18;
constexpr size_t kMaxMachineTypes = 100;
constexpr uint64_t kMaxTasks = ledger::kMaxTasks;

constexpr std::array<NamedValue<JobShape>, 3> kShapes{{
    {value::shape::kArray, JobShape::array},
    {value::shape::kGang, JobShape::gang},
    {value::shape::kService, JobShape::service},
}};

constexpr std::array<NamedValue<Priority>, 4> kPriorities{{
    {value::priority::kIdle, Priority::idle},
    {value::priority::kStandard, Priority::standard},
    {value::priority::kUrgent, Priority::urgent},
    {value::priority::kCritical, Priority::critical},
}};

// Reads the fields of a submission and records the last one that was missing or invalid. Such a
// field is read as a placeholder value; callers must check invalid_field() at the end.
class SubmissionReader {
 public:
  explicit SubmissionReader(const json& submission) : submission_(submission) {}

  bool has(const char* name) const { return find_field(submission_, name) != nullptr; }

  std::string id() {
    const auto id = parse_job_id(submission_);
    if (!id) invalid_field_ = field::job::kId;
    return id.value_or("");
  }
  std::string name(const char* name) {
    const json* value = require(name, is_name);
    return value ? value->get<std::string>() : "";
  }
  double amount(const char* name) {
    const json* value = require(name, is_amount);
    return value ? value->get<double>() : 0;
  }
  bool flag(const char* name) {
    const json* value = require(name, [](const json& v) { return v.is_boolean(); });
    return value && value->get<bool>();
  }
  uint32_t task_count() {
    const uint64_t count = find_unsigned(submission_, field::job::kTaskCount).value_or(0);
    if (count < 1 || count > kMaxTasks) invalid_field_ = field::job::kTaskCount;
    return static_cast<uint32_t>(std::min(count, kMaxTasks));
  }
  template <class Enum, size_t N>
  Enum one_of(const char* name, const std::array<NamedValue<Enum>, N>& values) {
    const auto found = enum_from_name(values, text_or(submission_, name));
    if (!found) invalid_field_ = name;
    return found.value_or(Enum{});
  }
  std::vector<std::string> names(const char* name, size_t max_count) {
    const json* list = require(name, [max_count](const json& v) {
      return v.is_array() && !v.empty() && v.size() <= max_count &&
             std::all_of(v.begin(), v.end(), is_name);
    });
    return list ? list->get<std::vector<std::string>>() : std::vector<std::string>();
  }

  // Empty if all fields that were read are valid.
  const std::string& invalid_field() const { return invalid_field_; }

 private:
  template <class Predicate>
  const json* require(const char* name, const Predicate& is_valid) {
    const json* value = find_field(submission_, name);
    if (value && is_valid(*value)) return value;
    invalid_field_ = name;
    return nullptr;
  }

  const json& submission_;
  std::string invalid_field_;
};

void read_identity(SubmissionReader& reader, JobSpec& job) {
  job.id = reader.id();
  job.job_class = reader.name(field::job::kJobClass);
  job.team = reader.name(field::job::kTeam);
  job.image = reader.name(field::job::kImage);
  job.shape = reader.one_of(field::job::kShape, kShapes);
  job.priority = reader.one_of(field::job::kPriority, kPriorities);
}

void read_requirements(SubmissionReader& reader, JobSpec& job) {
  job.tasks = reader.task_count();
  job.per_task.cpus = reader.amount(field::job::kCpus);
  job.per_task.gpus = reader.amount(field::job::kGpus);
  job.per_task.memory_gb = reader.amount(field::job::kMemoryGb);
  job.image_gb = reader.amount(field::job::kImageGb);
  job.expected_runtime_s = reader.amount(field::job::kExpectedRuntimeS);
  job.checkpoint_interval_s = reader.amount(field::job::kCheckpointIntervalS);
  job.checkpoint_duration_s = reader.amount(field::job::kCheckpointDurationS);
  if (reader.has(field::job::kDeadlineS)) job.deadline_s = reader.amount(field::job::kDeadlineS);
}

void read_placement(SubmissionReader& reader, JobSpec& job) {
  job.single_zone = reader.flag(field::job::kSingleZone);
  job.spread_zones = reader.flag(field::job::kSpreadZones);
  job.spot = reader.flag(field::job::kSpot);
  if (reader.has(field::job::kMachineTypes))
    job.types = reader.names(field::job::kMachineTypes, kMaxMachineTypes);
  if (reader.has(field::job::kZone)) job.zone = reader.name(field::job::kZone);
}

const char* status_name(const JobProgress& progress) {
  if (progress.status == ledger::JobStatus::done) return value::job_status::kDone;
  if (progress.status == ledger::JobStatus::cancelled) return value::job_status::kCancelled;
  return progress.running > 0 ? value::job_status::kRunning : value::job_status::kPending;
}

json job_with_status(const std::string& id, const char* status) {
  return {{field::job_status::kId, id}, {field::job_status::kStatus, status}};
}

}  // namespace

bool is_valid_job_id(const std::string& id) {
  if (id.compare(0, kJobIdPrefix.size(), kJobIdPrefix) != 0) return false;
  const std::string_view digits = std::string_view(id).substr(kJobIdPrefix.size());
  if (digits.size() < kMinJobIdDigits || digits.size() > kMaxJobIdDigits) return false;
  return std::all_of(digits.begin(), digits.end(), [](char c) { return c >= '0' && c <= '9'; });
}

std::optional<std::string> parse_job_id(const json& submission) {
  std::string id = text_or(submission, field::job::kId);
  if (!is_valid_job_id(id)) return std::nullopt;
  return id;
}

DecodedJob parse_job(const json& submission) {
  if (!submission.is_object()) return DecodeError{"not a map"};
  SubmissionReader reader(submission);
  JobSpec job;
  read_identity(reader, job);
  read_requirements(reader, job);
  read_placement(reader, job);
  if (!reader.invalid_field().empty()) return DecodeError{reader.invalid_field()};
  return job;
}

json encode_job_status(const std::string& id, const JobProgress& progress, bool with_counts) {
  json message = job_with_status(id, status_name(progress));
  if (with_counts) {
    message[field::job_status::kDoneTasks] = progress.done;
    message[field::job_status::kRunningTasks] = progress.running;
  }
  return message;
}

json encode_job_accepted(const std::string& id) {
  return job_with_status(id, value::job_status::kPending);
}

json encode_job_cancelled(const std::string& id) {
  return job_with_status(id, value::job_status::kCancelled);
}

json encode_error(const std::string& reason) { return {{field::error_response::kReason, reason}}; }

}  // namespace rookdyke::wire
