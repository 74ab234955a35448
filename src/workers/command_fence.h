#pragma once
// The fencing token of the commands to one worker. A worker executes a direct command, also a
// delayed or repeated copy of it, for as long as it has seen no higher token than the command's. A
// higher token therefore makes every copy of earlier direct commands harmless.
//
// Must be raised before the worker forgets an attempt that a direct command has started, and before
// one that a direct command may still start is taken for gone: a copy of the command would start
// it. Part of Machine; without any direct start it stays at the token of the leader's term.

#include <algorithm>
#include <cstdint>

namespace rookdyke {

class CommandFence {
 public:
  // The token for the next command to the worker, in the term that began with `term_token`.
  uint64_t token(uint64_t term_token) const { return std::max(term_token, raised_to_); }
  // Whether a worker that sees token(term_token) executes no copy of the direct starts sent so far.
  bool refuses_sent_starts(uint64_t term_token) const {
    return token(term_token) > last_start_token_;
  }
  // `revision` must be one that the leader's claim confirms, or a token that the worker has seen.
  void raise_to(uint64_t revision) { raised_to_ = std::max(raised_to_, revision); }
  void on_direct_start_sent(uint64_t token) {
    last_start_token_ = std::max(last_start_token_, token);
  }
  // A worker refuses direct commands that name an earlier epoch.
  void on_new_epoch() { last_start_token_ = 0; }

 private:
  uint64_t raised_to_ = 0;         // 0: never raised
  uint64_t last_start_token_ = 0;  // of the latest direct start in this epoch; 0: none
};

}  // namespace rookdyke
