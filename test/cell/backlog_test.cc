#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <vector>

#include "support/backlog_model.h"

namespace quetzalline {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

JobStep BestEffort(std::int32_t count) {
  return JobStep::Builder()
      .count(count)
      .cpu(7000)
      .memory_mb(12'000)
      .estimate(seconds(2))
      .image("batch")
      .fills(true)
      .Build();
}

std::int64_t Ms(Duration time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

// Steps of 6 to 20 tasks, each behind the one before it.
std::vector<JobStep> DrawSteps(std::mt19937& random) {
  std::vector<JobStep> steps;
  const auto depth = static_cast<std::int32_t>(1 + random() % 3);
  for (std::int32_t i = 0; i < depth; ++i) {
    JobStep::Builder step(
        BestEffort(static_cast<std::int32_t>(6 + random() % 15)));
    if (i > 0) step.after({i - 1});
    steps.push_back(step.Build());
  }
  return steps;
}

// Figures of the jobs of a backlog.
struct Figures {
  int jobs_over_limit_ = 0;
  int waits_ = 0;
  Duration longest_{};
  Duration longest_later_{};
  Duration most_waited_{};
  Duration makespan_{};
  Duration mean_completion_{};
};

Figures FiguresOf(const BacklogModel& model) {
  Figures figures;
  for (const auto& [job, gaps] : model.gaps()) {
    figures.jobs_over_limit_ += gaps.most_waited_ > kLostAfter ? 1 : 0;
    figures.waits_ += gaps.waits_;
    figures.longest_ = std::max(figures.longest_, gaps.longest_);
    figures.longest_later_ =
        std::max(figures.longest_later_, gaps.longest_later_);
    figures.most_waited_ = std::max(figures.most_waited_, gaps.most_waited_);
  }
  for (const auto& [job, time] : model.completions()) {
    figures.makespan_ = std::max(figures.makespan_, time);
    figures.mean_completion_ +=
        time / static_cast<Duration::rep>(model.completions().size());
  }
  return figures;
}

std::ostream& operator<<(std::ostream& out, const Figures& figures) {
  return out << figures.jobs_over_limit_ << " jobs over the limit, "
             << figures.waits_ << " waits, longest gap " << Ms(figures.longest_)
             << " ms, later than the first " << Ms(figures.longest_later_)
             << " ms, at most " << Ms(figures.most_waited_)
             << " ms waited in all, makespan " << Ms(figures.makespan_)
             << " ms, mean completion " << Ms(figures.mean_completion_)
             << " ms";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(backlogs)

// The wait of a starved job began anew at the end of each of its tasks.
BOOST_AUTO_TEST_CASE(a_starved_job_waits_once_and_not_after_each_of_its_tasks) {
  BacklogModel model(11, 1);
  std::mt19937 random(1);
  for (int i = 0; i < 49; ++i) model.AddJob(DrawSteps(random));
  model.RunFor(seconds(120));
  const Figures figures = FiguresOf(model);
  BOOST_TEST(model.jobs_left() == 0U);
  BOOST_TEST(model.overcommitted() == 0);
  BOOST_TEST((figures.most_waited_ <= kLostAfter),
             figures << ", " << model.highest_percent() << " % CPU");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace quetzalline
