#pragma once
// The condition variables that the loops of a controller wait on, one per loop. They may be
// notified with or without holding the mutex of SharedState: every loop checks the state under that
// mutex before it waits, and its waits time out.

#include <condition_variable>

namespace rookdyke {

struct Wakeups {
  std::condition_variable election;      // LeaderElection
  std::condition_variable scheduling;    // SchedulingLoop
  std::condition_variable transactions;  // TransactionCommitter
  std::condition_variable commands;      // CommandDispatcher, all its threads
  std::condition_variable cloud;         // CloudReconciler
  std::condition_variable peers;         // PeerExchange

  void notify_all() {
    transactions.notify_all();
    cloud.notify_all();
    commands.notify_all();
    scheduling.notify_all();
    election.notify_all();
    peers.notify_all();
  }
};

}  // namespace rookdyke
