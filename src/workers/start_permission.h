#pragma once
// Whether a worker may be told to start an attempt. Asked by TaskReconciler and DirectCommands,
// which send the commands; the daemon forbids all starts while the leader may not have heard of the
// latest cancellations.

#include "model/job.h"

namespace rookdyke {

class StartPermission {
 public:
  void allow_starts(bool allowed) { starts_allowed_ = allowed; }

  // Whether the attempt is durable and still wanted, and for a gang the rest of it durable too.
  bool may_start(const Job& job, const Attempt& attempt) const {
    if (attempt.state != AttemptState::placed || attempt.stop) return false;
    if (job.is_finished() || !starts_allowed_) return false;
    return !job.is_gang() || job.proposed == 0;
  }

 private:
  bool starts_allowed_ = true;
};

}  // namespace rookdyke
