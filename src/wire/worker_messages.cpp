#include "wire/worker_messages.h"

#include <array>
#include <charconv>
#include <utility>

#include "wire/field_names.h"
#include "wire/field_reader.h"

namespace rookdyke::wire {

namespace {

// Fencing tokens are revisions of the state service, which never reach this bound. A token above it
// would depose every leader permanently, since no leader could ever obtain a higher one.
constexpr uint64_t kMaxFencingToken = uint64_t{1} << 53;
constexpr double kNoReclaimNoticeS = -1;

constexpr std::array<NamedValue<TaskPhase>, 5> kPhases{{
    {value::phase::kFetching, TaskPhase::fetching},
    {value::phase::kGangWaiting, TaskPhase::gang_waiting},
    {value::phase::kRunning, TaskPhase::running},
    {value::phase::kCheckpointing, TaskPhase::checkpointing},
    {value::phase::kExited, TaskPhase::exited},
}};

constexpr std::array<NamedValue<ExitCause>, 7> kExitCauses{{
    {value::exit_cause::kDone, ExitCause::done},
    {value::exit_cause::kStopped, ExitCause::stopped},
    {value::exit_cause::kGangPeerLost, ExitCause::gang_peer_lost},
    {value::exit_cause::kGangTimeout, ExitCause::gang_timeout},
    {value::exit_cause::kInsufficientResources, ExitCause::insufficient_resources},
    {value::exit_cause::kAlreadyPresent, ExitCause::already_present},
    {value::exit_cause::kUnknownTask, ExitCause::unknown_task},
}};

constexpr std::array<NamedValue<CommandKind>, 3> kCommandKinds{{
    {value::command::kStart, CommandKind::start},
    {value::command::kStop, CommandKind::stop},
    {value::command::kForget, CommandKind::forget},
}};

// The name of a task in the protocol: "<job>/<task>".
struct TaskName {
  std::string job;
  uint32_t task = 0;
};

std::optional<TaskName> parse_task_name(const std::string& text) {
  const size_t slash = text.rfind('/');
  if (slash == std::string::npos) return std::nullopt;
  TaskName name;
  name.job = text.substr(0, slash);
  const char* end = text.data() + text.size();
  const auto [parsed_to, error] = std::from_chars(text.data() + slash + 1, end, name.task);
  if (error != std::errc() || parsed_to != end) return std::nullopt;
  return name;
}

std::string format_task_name(const WorkerCommand& command) {
  return command.job + "/" + std::to_string(command.task);
}

std::optional<TaskStatus> parse_task_status(const json& message) {
  auto name = parse_task_name(text_or(message, field::task::kTask));
  const auto attempt = find_unsigned(message, field::task::kAttempt);
  const auto phase = enum_from_name(kPhases, text_or(message, field::task::kPhase));
  if (!name || !attempt || !phase) return std::nullopt;
  TaskStatus status;
  status.job = std::move(name->job);
  status.task = name->task;
  status.attempt = *attempt;
  status.phase = *phase;
  if (status.phase == TaskPhase::exited) {
    status.cause = enum_from_name(kExitCauses, text_or(message, field::task::kExitCause))
                       .value_or(ExitCause::error);
    status.checkpoint_saved = flag_or(message, field::task::kCheckpointSaved);
  }
  return status;
}

// Reads the epoch, the sequence number, and the highest fencing token that the worker has seen.
// Returns false if one is missing or invalid: a default value instead could equal the value of
// another session, heartbeat or leader.
bool read_session(const json& message, Heartbeat& heartbeat) {
  const auto epoch = find_unsigned(message, field::heartbeat::kEpoch);
  const auto sequence = find_unsigned(message, field::heartbeat::kSequence);
  const auto fencing_token = find_unsigned(message, field::heartbeat::kFencingToken);
  if (!epoch || *epoch < 1 || !sequence) return false;
  if (!fencing_token || *fencing_token > kMaxFencingToken) return false;
  heartbeat.epoch = *epoch;
  heartbeat.seq = *sequence;
  heartbeat.fencing_token = *fencing_token;
  return true;
}

bool read_tasks(const json& message, Heartbeat& heartbeat) {
  const json* tasks = find_field(message, field::heartbeat::kTasks);
  if (!tasks) return true;
  if (!tasks->is_array()) return false;
  for (const json& task : *tasks) {
    auto status = parse_task_status(task);
    if (!status) return false;
    heartbeat.tasks.push_back(std::move(*status));
  }
  return true;
}

json encode_command(const WorkerCommand& command) {
  json message = {{field::command::kKind, enum_to_name(kCommandKinds, command.kind)},
                  {field::command::kTask, format_task_name(command)},
                  {field::command::kAttempt, command.attempt}};
  if (command.kind == CommandKind::stop) message[field::command::kGracePeriodS] = command.grace_s;
  return message;
}

}  // namespace

std::optional<Heartbeat> parse_heartbeat(const json& message) {
  const json* machine = find_field(message, field::heartbeat::kMachine);
  if (!machine || !is_name(*machine)) return std::nullopt;
  Heartbeat heartbeat;
  heartbeat.machine = machine->get<std::string>();
  heartbeat.addr = text_or(message, field::heartbeat::kAddress);
  heartbeat.type = text_or(message, field::heartbeat::kType);
  heartbeat.zone = text_or(message, field::heartbeat::kZone);
  heartbeat.spot = flag_or(message, field::heartbeat::kSpot);
  heartbeat.notice_s = number_or(message, field::heartbeat::kReclaimNoticeS, kNoReclaimNoticeS);
  if (!read_session(message, heartbeat)) return std::nullopt;
  if (!read_tasks(message, heartbeat)) return std::nullopt;
  return heartbeat;
}

json encode_heartbeat_reply(uint64_t fencing_token, const std::vector<WorkerCommand>& commands) {
  json list = json::array();
  for (const WorkerCommand& command : commands) list.push_back(encode_command(command));
  return {{field::command::kFencingToken, fencing_token},
          {field::command::kCommands, std::move(list)}};
}

json encode_direct_command(const DirectCommand& command) {
  json message = encode_heartbeat_reply(command.fencing_token, command.commands);
  message[field::command::kEpoch] = command.epoch;
  return message;
}

json encode_redirect(const std::string& leader_label) {
  if (leader_label.empty()) return json::object();
  return {{field::redirect::kLeader, leader_label}};
}

}  // namespace rookdyke::wire
