#pragma once
// Writes pages: selects the next one, creates its entries with as many new starts as fit, and
// applies the result to their attempts. A page is dirty, then in flight, then either durable or
// dirty again. LedgerWriter sends the transactions; at most one write of a page is in flight.

#include <cstddef>
#include <optional>
#include <vector>

#include "ledger/page_table.h"
#include "ledger/rows.h"
#include "ledger_writer/ledger_limits.h"
#include "ledger_writer/ledger_write.h"
#include "ledger_writer/page_content.h"
#include "ledger_writer/unlisted_machines.h"
#include "model/settings.h"
#include "scheduler/job_table.h"
#include "scheduler/task_lifecycle.h"

namespace rookdyke {

class PageWriter {
 public:
  // All must outlive this object.
  PageWriter(const Settings& settings, const LedgerLimits& limits, const PageContent& content,
             const UnlistedMachines& unlisted_machines, JobTable& jobs, PageTable& pages,
             TaskLifecycle& lifecycle)
      : settings_(settings),
        limits_(limits),
        content_(content),
        unlisted_machines_(unlisted_machines),
        jobs_(jobs),
        pages_(pages),
        lifecycle_(lifecycle) {}

  // The page to write next, by urgency and then by age; empty if there is none. A page whose only
  // changes are ends of completed tasks is written after a delay, since workers list these tasks
  // until their ends are durable.
  std::optional<Index> next_page(double now) const;
  // Whether starts of tasks wait for the page to be written.
  bool has_pending_starts(Index page) const;
  // The number of dirty pages. Pages in flight count only if they have changed since.
  size_t dirty_count() const;

  // Adds the page to a transaction that has its id and the condition on the leader key, and marks
  // the page as in flight. Withdraws proposals that are no longer valid.
  LedgerWrite begin_write(Index page, ledger::Transaction transaction, double now);
  // Handles the result of a page write. Its outcome must not be `indeterminate`. Returns whether
  // ended attempts were released.
  bool on_result(const PageWrite& write, const std::vector<Index>& jobs,
                 const ledger::Result& result, double now);

 private:
  struct Draft;

  void draft_entries(const Page& page, Draft& draft);
  ledger::PageEntry draft_entry(const Job& job, uint32_t first) const;
  void collect_attempts(Job& job, uint32_t first, Draft& draft);
  size_t size_with_machine(const Draft& draft, Index machine) const;
  void add_machine(Draft& draft, Index machine) const;
  void add_machines_of_placed_attempts(Draft& draft) const;
  void add_starts(Draft& draft, std::vector<ledger::Condition>& conditions);
  void on_not_applied(Page& page, const std::vector<Index>& jobs, ledger::Outcome outcome,
                      double now);
  void mark_durable(Page& page, uint64_t revision);
  void mark_starts_placed(const std::vector<TaskRef>& started, double now);
  bool release_ended_attempts(const std::vector<TaskRef>& ended);

  const Settings& settings_;
  const LedgerLimits& limits_;
  const PageContent& content_;
  const UnlistedMachines& unlisted_machines_;
  JobTable& jobs_;
  PageTable& pages_;
  TaskLifecycle& lifecycle_;
};

}  // namespace rookdyke
