// Plays scenario files (tests/scenarios/): the program's main function and the format of the files.
// The lines are read by scenario/: setup.h, actions.h, submissions.h and expectations.h.
//
// Usage: run_scenario [--seeds N] FILE...
// With --seeds, each file is played with N further seeds, and only the rules are looked at.
//
// A scenario is lines of words; '#' begins a comment. Before the first `at`:
//
//   seed N                        everything random follows from it (default 1)
//   nodes N                       controllers (default 3)
//   type NAME cpus C gpus G mem M boot S zones a,b    machine types, cheapest first
//   team NAME [cpus N] [cpus_max N] [gpus N] [gpus_max N]
//   set NAME VALUE                a setting: report_s lease_s gang_wait_s gang_peer_s cancel_s
//                                 list_lag_s value_bytes txn_ops, or a tuning value
//                                 (model/settings.h); next_value_bytes next_txn_ops: the limits
//                                 that the state service will have
//   capacity ZONE spot|ordinary N machines to be had (default 100)
//   messages [lose P] [repeat P] [slow P]    chances for every message, for the whole run
//   late_copies P S               chance that a copy of a heartbeat comes up to S seconds later
//   late_writes P                 chance that a transaction gets no answer and is executed 2 to 12
//   s
//                                 later, after newer ones
//   never_boots P
//   slow_boots TIMES              machines take so many times as long to come up
//   objective LOT wait|finished S   what is promised for a class
//
// Then what happens, at a time in seconds:
//
//   at T submit ID array|gang|service N [gpus G] [cpus C] [mem M] [run S] [image NAME GB] [spot]
//        [one_zone] [scatter] [zone Z] [team T] [lot L] [rank idle|standard|urgent|critical]
//        [save EVERY NEEDS] [faulty]
//        [cancelled P S]     by that chance, up to S seconds after the submission
//        replicas of a service run until they are stopped, or for `run` seconds if that is given
//   at T stream ID every S until U array|gang|service ...
//                                 one more such job every S seconds, with ascending numbers
//   at T abort ID
//   at T lower_limits             the state service takes no more than the next limits from now on
//   at T old_rows for S           submissions are written as version 0.1 does
//   at T ask ID                   poll for a job that may never have been submitted
//   at T crash leader|all|K [for S]
//   at T freeze leader|K for S    the process is paused while its clocks run on
//   at T cut leader|K from state|workers|users|siblings|all for S [hold]
//   at T unplug MACHINES [in ZONE] for S [hold]     cut from all controllers, a count of machines
//   at T unplug MACHINES newest for S [hold]        those rented last that are up and have tasks
//   at T late_list TIMES for S    the cloud's list lags by so many times list_lag_s
//   at T state_outage S
//   at T cloud_outage S
//   at T refuse leader|K for S    the state service refuses that controller alone
//   at T slow_state S for D       the state service answers after up to S seconds
//   at T late_writes P for S [at_once]    with at_once a transaction is executed at once, and only
//                                 its answer is lost
//   at T late_copies P S for D
//   at T keep_copies P for S      copies of heartbeats, by that chance, reach all controllers
//                                 within 0.3 s after the next leader is elected
//   at T hold_commands P S for D  direct commands or their answers are delayed by up to S seconds
//   at T repeat_commands P S for D  copies of executed direct commands arrive up to S seconds later
//   at T zone_cut ZONE for S [hold]     its machines and controllers are cut from all outside of
//                                 it; controller i lies in zone i modulo their number
//   at T mute MACHINES [in ZONE] for S  they reach no controller; direct commands reach them
//   at T cancel_now N [hang S]    N jobs that run and have longest to go are cancelled; with hang,
//                                 up to eight of their machines hang
//   at T cancel_at_end P for S    that share of the jobs that end is cancelled at that moment
//   at T odd_requests for S       users repeat submissions, cancel what is done, ask about unknown
//                                 jobs; each job's end meets a repeated submission and a question
//   at T close_looks for S        users ask at all controllers, and repeat the submission,
//                                 within milliseconds after a job was accepted, ended or confirmed
//                                 as cancelled; some cancel at once
//   at T deafen MACHINES [in ZONE] for S    their heartbeats arrive; no answer or command reaches
//   them at T hang|sick|take MACHINES [for S] [notice S]    MACHINES: a count, or all, or busy
//   at T restart MACHINES for S [forgetful]    their workers lose all tasks and, if forgetful, the
//                                 highest token that they have seen, and are back in a new epoch
//   troubles_over T               from then on every accepted job is answered for
//   until T
//
// And what must be so. No broken rule is demanded always.
//
//   expect done ID [by T]
//   expect aborted ID
//   expect starts ID at_most N
//   expect started ID [by T]
//   expect served ID at_least P   of a service's replica time, from 5 s after submission on
//   expect largest_write at_most N    bytes of a value, since the limits were lowered
//   expect rejected at_least|at_most N    transactions beyond the limits
//   expect machines|hires|returns at_least|at_most N [by T]    at the end, or at that time
//   expect met WHAT at_least|at_most N    how often faults coincided (World::record_event), or
//                                 what workers sent: heartbeats, exited_listed (attempts that had
//                                 exited, in all heartbeats), longest_list (of a heartbeat)
//   expect leader                 at the end
//   expect all_known              every accepted job is done or aborted at the end
//   expect fair                   the users' shares: half of each class, team and class's largest
//                                 jobs done; these begun within 240 s
//   expect work_a_round at_most N machines and jobs looked at by the leader in a round, on average

#include <spdlog/spdlog.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <string>
#include <vector>

#include "scenario/runner.h"

namespace rookdyke::test {
namespace {

constexpr uint64_t kFirstFurtherSeed = 1001;
constexpr size_t kMostFailuresShown = 8;

struct Arguments {
  uint64_t further_seeds = 0;
  std::vector<std::string> files;
};

Arguments read_arguments(int argc, char** argv) {
  Arguments arguments;
  int first = 1;
  if (argc > 2 && std::string(argv[1]) == "--seeds") {
    arguments.further_seeds = std::stoull(argv[2]);
    first = 3;
  }
  arguments.files.assign(argv + first, argv + argc);
  return arguments;
}

std::vector<std::string> play_all_seeds(const std::string& file, uint64_t further_seeds) {
  const Script script = read_script(file);
  std::vector<std::string> failures = play(script);
  for (uint64_t i = 0; i < further_seeds; ++i) {
    const uint64_t seed = kFirstFurtherSeed + i;
    for (const std::string& failure : play_with_seed(script, seed))
      failures.push_back("seed " + std::to_string(seed) + ": " + failure);
  }
  return failures;
}

// Plays one file and prints its result; returns whether it passed.
bool passes(const std::string& file, uint64_t further_seeds) {
  std::vector<std::string> failures;
  try {
    failures = play_all_seeds(file, further_seeds);
  } catch (const std::exception& e) {
    failures.emplace_back(e.what());
  }
  std::printf("%s %s\n", failures.empty() ? "ok  " : "FAIL", file.c_str());
  for (size_t i = 0; i < failures.size() && i < kMostFailuresShown; ++i)
    std::printf("     %s\n", failures[i].c_str());
  return failures.empty();
}

int run(const Arguments& arguments) {
  size_t failed = 0;
  for (const std::string& file : arguments.files) failed += !passes(file, arguments.further_seeds);
  std::printf("%zu passed, %zu failed\n", arguments.files.size() - failed, failed);
  return failed || arguments.files.empty() ? EXIT_FAILURE : EXIT_SUCCESS;
}

}  // namespace
}  // namespace rookdyke::test

int main(int argc, char** argv) {
  const char* level = std::getenv("LOG_LEVEL");
  spdlog::set_level(level ? spdlog::level::from_str(level) : spdlog::level::off);
  return rookdyke::test::run(rookdyke::test::read_arguments(argc, argv));
}
