// Admission: jobs that can never run are rejected, all others are admitted.

#include "admission/admission.h"

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "scheduler/scheduler_fixtures.h"

namespace rookdyke {
namespace {

using namespace test;

class Admission : public testing::Test {
 protected:
  Admission() {
    MachineType small, large;
    small.name = "small";
    small.size = {4, 0, 8};
    small.zones = {"a", "b"};
    large.name = "large";
    large.size = {16, 4, 64};
    large.zones = {"b"};
    types = {small, large};
    teams = {{"t", 0, 8, 0, 4}, {"free", 0, 0, 0, 0}};
    job.team = "t";
    job.tasks = 4;
    job.per_task = {2, 0, 4};
  }
  bool is_admitted() const { return !rejection_reason(job, types, teams, {"a", "b"}); }

  std::vector<MachineType> types;
  std::vector<TeamQuota> teams;
  JobSpec job;
};

TEST_F(Admission, ChecksTeamTaskSizeAndMachineTypes) {
  EXPECT_TRUE(is_admitted());
  job.team = "nobody";
  EXPECT_FALSE(is_admitted());
  job.team = "t";
  job.per_task.gpus = 1;
  EXPECT_TRUE(is_admitted());  // fits the large type
  job.types = {"small"};
  EXPECT_FALSE(is_admitted());
  job.types = {"small", "large"};
  EXPECT_TRUE(is_admitted());
  job.types = {"round"};  // an unknown type
  EXPECT_FALSE(is_admitted());
  job.types.clear();
  job.per_task = {17, 0, 1};
  EXPECT_FALSE(is_admitted());
}

TEST_F(Admission, ATeamLimitMustFitOneTaskOfAnArrayOrAllOfAGang) {
  job.tasks = 100'000;
  EXPECT_TRUE(is_admitted());
  job.per_task.cpus = 8;
  EXPECT_TRUE(is_admitted());
  job.per_task.cpus = 8.001;
  EXPECT_FALSE(is_admitted());
  job.shape = JobShape::gang;
  job.tasks = 4;
  job.per_task.cpus = 2;
  EXPECT_TRUE(is_admitted());
  job.tasks = 5;
  EXPECT_FALSE(is_admitted());
  job.team = "free";  // a team without a limit
  EXPECT_TRUE(is_admitted());
}

TEST_F(Admission, AZoneMustOfferATypeThatFitsATask) {
  for (const char* zone : {"a", "b"}) {
    job.zone = zone;
    EXPECT_TRUE(is_admitted());
  }
  job.zone = "c";
  EXPECT_FALSE(is_admitted());
  job.zone = "a";
  job.per_task.gpus = 1;
  EXPECT_FALSE(is_admitted());  // the large type is offered in zone b only
  job.zone = "b";
  EXPECT_TRUE(is_admitted());
  types[1].zones.clear();  // unknown zones: all zones of the deployment are assumed
  job.zone = "a";
  EXPECT_TRUE(is_admitted());
  EXPECT_FALSE(rejection_reason(job, types, teams, {}));
}

TEST_F(Admission, ASpreadGangNeedsTwoZones) {
  job.shape = JobShape::gang;
  job.spread_zones = true;
  EXPECT_TRUE(is_admitted());
  job.single_zone = true;
  EXPECT_FALSE(is_admitted());
  job.tasks = 1;
  EXPECT_TRUE(is_admitted());
  job.tasks = 2;
  job.single_zone = false;
  job.zone = "a";
  EXPECT_FALSE(is_admitted());
  job.zone.clear();
  job.per_task.gpus = 1;
  EXPECT_FALSE(is_admitted());  // the large type is offered in zone b only
  // The tasks of an array may run one after the other, so spreading does not restrict it.
  job.shape = JobShape::array;
  job.single_zone = true;
  job.zone = "b";
  EXPECT_TRUE(is_admitted());
}

TEST(ServiceAdmission, AllReplicasTogetherMustFitTheTeamsLimit) {
  JobSpec job;
  job.team = "team";
  job.shape = JobShape::service;
  job.tasks = 4;
  job.per_task = {2, 0, 4};
  const std::vector<TeamQuota> teams = {{"team", 0, 7, 0, 0}};
  EXPECT_TRUE(rejection_reason(job, {bare_type()}, teams, {"a"}));
  job.tasks = 3;
  EXPECT_FALSE(rejection_reason(job, {bare_type()}, teams, {"a"}));
  job.shape = JobShape::array;
  job.tasks = 4;
  EXPECT_FALSE(rejection_reason(job, {bare_type()}, teams, {"a"}));
}

}  // namespace
}  // namespace rookdyke
