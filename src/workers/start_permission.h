#pragma once
// Decides whether a worker may be commanded to start an attempt. Used by TaskReconciler and
// DirectCommands, which produce the commands. The daemon forbids all starts while the leader may
// not know the latest cancellations.

#include "model/job.h"

namespace rookdyke {

class StartPermission {
 public:
  void allow_starts(bool allowed) { starts_allowed_ = allowed; }

  // Whether starts are allowed, the attempt is durable, not yet listed by its worker and not to be
  // stopped, its job is not finished and, for a gang, all attempts of the job are durable.
  bool may_start(const Job& job, const Attempt& attempt) const {
    if (attempt.state != AttemptState::placed || attempt.stop_requested) return false;
    if (job.is_finished() || !starts_allowed_) return false;
    return !job.is_gang() || job.proposed_count == 0;
  }

 private:
  bool starts_allowed_ = true;
};

}  // namespace rookdyke
