#pragma once
// Which size limits of the state service hold now: the configured ones, or the lowered ones that it
// switches to at some unknown moment (Settings::next_limits). Owned by LedgerWriter, which switches
// them; read by those that lay out pages.

#include <spdlog/spdlog.h>

#include <cstddef>

#include "ledger/rows.h"
#include "model/settings.h"

namespace rookdyke {

class LedgerLimits {
 public:
  // `settings` must outlive this object.
  explicit LedgerLimits(const Settings& settings) : settings_(settings) {}

  // The state service has lowered its limits. Final; does nothing if no lowered limits are
  // configured.
  void apply_lowered() {
    if (!settings_.next_limits || lowered_) return;
    lowered_ = true;
    spdlog::info("the state service has lowered its limits: values of {} bytes at most from now on",
                 settings_.lasting_value_bytes());
  }
  bool are_lowered() const { return lowered_; }

  // The bytes that the entries of a page may take now. New chunks are laid out for the lowered
  // limits from the start (PageTable); only older pages may hold more, and only until the limits
  // are lowered.
  size_t page_room() const {
    return ledger::page_room(lowered_ ? settings_.lasting_value_bytes() : settings_.value_bytes);
  }

 private:
  const Settings& settings_;
  bool lowered_ = false;
};

}  // namespace rookdyke
