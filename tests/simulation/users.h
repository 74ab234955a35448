#pragma once
// The simulated users: they submit, poll and cancel jobs at any controller, retry, and tell the
// checker every answer. They also know what their jobs really do, since workers look it up here.
// The World owns one.

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "checker/checker.h"
#include "model/types.h"

namespace rookdyke::test {

class World;
class Worker;

enum class UserRequest : uint8_t { submit, poll, abort };

// A job as its user knows it, and what it has really done.
struct UserJob {
  JobSpec spec;
  double run_s = 10;  // of each task; 0 for a service: until it is stopped
  bool faulty = false;
  std::string told;  // the last status that a user was told
  double done_at = -1, cancelled_at = -1, first_start = -1;
  bool abort_asked = false;
  std::map<uint32_t, double> progress;  // by task: seconds that are saved
  std::set<uint32_t> done;
  size_t starts = 0;
  double served_s = 0;                // of a service: the running time of replicas that ended
  double submitted_at = 0;            // by its user
  std::set<uint64_t> saved_attempts;  // of a gang
};

class Users {
 public:
  explicit Users(World& world) : world_(world) {}

  std::map<std::string, UserJob> jobs;

  void submit(const JobSpec& spec, double run_s, bool faulty);
  // Cancels a job, and asks until it is confirmed.
  void abort(const std::string& id);
  // Cancels jobs that run and have longest to go, within a fifth of a second; up to eight of their
  // machines hang.
  void cancel_longest_running(size_t count, double hang_s);
  // Sends unexpected requests for `s` seconds: repeated submissions, cancellations of what is done,
  // polls for jobs that were never submitted.
  void send_unexpected_requests(double s);
  // Until then users ask at all controllers, and repeat the submission, within milliseconds after a
  // job was accepted, ended or confirmed as cancelled; some cancel at once.
  double concurrent_requests_until = -1;
  // Sends one request to all controllers, about a job that may never have been submitted.
  void ask_all(const JobSpec& spec, UserRequest request);
  // The last task of a job has ended.
  void on_last_task_ended(const std::string& id);
  // The share of a service's replica time that was served, from so long after its submission until
  // now, or until its user cancelled it.
  double served_share(const std::string& id, double after_s) const;

 private:
  using OnAnswer = std::function<void(const std::string& answer, const Asked& when)>;
  struct RunningJob {
    double left_s = 0;  // of its longest task
    std::vector<Worker*> machines;
  };
  void try_submit(const std::string& id, double started);
  void try_abort(const std::string& id);
  void poll(const std::string& id);
  // Sends one request to a controller. It is answered once: with the answer, or with "" once the
  // user's patience has run out.
  void ask(size_t controller, UserRequest request, const JobSpec& spec, const OnAnswer& on_answer);
  // Sends one request about a job, once; its answer is checked like any other.
  void ask_any(UserRequest request, const JobSpec& spec);
  void ask_controller(size_t controller, UserRequest request, const JobSpec& spec);
  // A controller that is alive, if one is found in a few tries.
  std::optional<size_t> any_controller();
  void heard(const std::string& id, const std::string& answer, bool cancel_asked,
             const Asked& when);
  void on_news(const std::string& id, const std::string& answer, bool first);
  void send_unexpected_request();
  void send_concurrent_requests(const std::string& id);
  std::map<std::string, RunningJob> running_jobs();
  void record_cancellation(const UserJob& job);
  bool is_at_quota(const std::string& team) const;

  World& world_;
  double last_answer_ = 0;
  double unexpected_requests_until_ = -1;
};

}  // namespace rookdyke::test
