#pragma once
// The size limits of the state service that apply now: the configured ones, or the lowered ones
// that it switches to at an unknown time (Settings::next_limits). Owned by LedgerWriter, which
// detects or is told of the switch; read by PageSplitter and PageWriter.

#include <spdlog/spdlog.h>

#include <cstddef>

#include "ledger/rows.h"
#include "model/settings.h"

namespace rookdyke {

class LedgerLimits {
 public:
  // `settings` must outlive this object.
  explicit LedgerLimits(const Settings& settings) : settings_(settings) {}

  // Switches to the lowered limits for good. Does nothing if none are configured.
  void apply_lowered() {
    if (!settings_.next_limits || lowered_) return;
    lowered_ = true;
    spdlog::info("the state service has lowered its limits: values of {} bytes at most from now on",
                 settings_.min_value_bytes());
  }
  bool are_lowered() const { return lowered_; }

  // The bytes that the entries of a page may take now. PageTable fills pages only up to the lowered
  // limits; pages that hold more already may be written until the limits are lowered.
  size_t page_capacity() const {
    return ledger::page_capacity(lowered_ ? settings_.min_value_bytes() : settings_.value_bytes);
  }

 private:
  const Settings& settings_;
  bool lowered_ = false;
};

}  // namespace rookdyke
