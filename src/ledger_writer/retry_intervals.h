#pragma once
// Intervals after which changes are written again if the state service did not execute their
// transaction.

namespace rookdyke {

inline constexpr double kRefusedRetryIntervalS = 0.25;
inline constexpr double kConflictRetryIntervalS = 0.02;
// For a transaction that was rejected although it is within all known limits.
inline constexpr double kRejectedRetryIntervalS = 2;

}  // namespace rookdyke
