#pragma once
// How long, in seconds, what the state service did not execute waits before it is drafted anew.

namespace rookdyke {

inline constexpr double kRetryRefusedInterval = 0.25;
inline constexpr double kRetryConflictInterval = 0.02;
// Of a transaction that was rejected although it is within all limits that we know.
inline constexpr double kRetryRejectedInterval = 2;

}  // namespace rookdyke
