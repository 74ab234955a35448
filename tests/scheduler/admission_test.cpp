// Admission: jobs that can never run are told from those that can.

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
  bool runs() const { return !rejection_reason(job, types, teams, {"a", "b"}); }

  std::vector<MachineType> types;
  std::vector<TeamQuota> teams;
  JobSpec job;
};

TEST_F(Admission, TeamsAndSizes) {
  EXPECT_TRUE(runs());
  job.team = "nobody";
  EXPECT_FALSE(runs());
  job.team = "t";
  job.per_task.gpus = 1;
  EXPECT_TRUE(runs());  // on the large ones
  job.types = {"small"};
  EXPECT_FALSE(runs());
  job.types = {"small", "large"};
  EXPECT_TRUE(runs());
  job.types = {"round"};
  EXPECT_FALSE(runs());
  job.types.clear();
  job.per_task = {17, 0, 1};
  EXPECT_FALSE(runs());
}

TEST_F(Admission, AnArrayNeedsTheLimitForOneTaskAGangForAll) {
  job.tasks = 100'000;
  EXPECT_TRUE(runs());
  job.per_task.cpus = 8;
  EXPECT_TRUE(runs());
  job.per_task.cpus = 8.001;
  EXPECT_FALSE(runs());
  job.shape = JobShape::gang;
  job.tasks = 4;
  job.per_task.cpus = 2;
  EXPECT_TRUE(runs());
  job.tasks = 5;
  EXPECT_FALSE(runs());
  job.team = "free";  // it has no limit
  EXPECT_TRUE(runs());
}

TEST_F(Admission, AZoneHasToOfferATypeThatHoldsATask) {
  for (const char* zone : {"a", "b"}) {
    job.zone = zone;
    EXPECT_TRUE(runs());
  }
  job.zone = "c";
  EXPECT_FALSE(runs());
  job.zone = "a";
  job.per_task.gpus = 1;
  EXPECT_FALSE(runs());  // the large ones are in b only
  job.zone = "b";
  EXPECT_TRUE(runs());
  types[1].zones.clear();  // not known: any zone of the deployment
  job.zone = "a";
  EXPECT_TRUE(runs());
  EXPECT_FALSE(rejection_reason(job, types, teams, {}));
}

TEST_F(Admission, ASpreadGangNeedsTwoZones) {
  job.shape = JobShape::gang;
  job.spread_zones = true;
  EXPECT_TRUE(runs());
  job.single_zone = true;
  EXPECT_FALSE(runs());
  job.tasks = 1;
  EXPECT_TRUE(runs());
  job.tasks = 2;
  job.single_zone = false;
  job.zone = "a";
  EXPECT_FALSE(runs());
  job.zone.clear();
  job.per_task.gpus = 1;
  EXPECT_FALSE(runs());  // the large ones are in b only
  // An array's tasks may run one after the other, each by itself.
  job.shape = JobShape::array;
  job.single_zone = true;
  job.zone = "b";
  EXPECT_TRUE(runs());
}

TEST(ServiceAdmission, AllReplicasTogetherHaveToFitTheTeamsLimit) {
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
