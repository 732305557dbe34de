Feature: availability budgets of lasting tasks

  Scenario: with a budget of one, only one task of a step is stopped at a time
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When all its tasks are ready
    Then the first executor may be taken down
    And the second executor may not be taken down while the first one is down
    When the first task is ready on another executor
    Then the second executor may be taken down

  Scenario: a task on an executor that does not report counts as unavailable
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When all its tasks are ready
    And the third executor has not reported for 3 s
    Then the first executor may not be taken down while the third one does not report

  Scenario: two tasks on one executor are stopped one at a time
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When all its tasks are ready
    Then the first executor may not be taken down while it holds both
    And one of its tasks is stopped first

  Scenario: a new scheduler stops no task while stops of the previous one may be pending
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When another scheduler started 0.5 s ago
    And all its tasks are ready
    Then the first executor may not be taken down while stops may be pending
    And none of its tasks is stopped yet
    When another scheduler started 3.0 s ago
    Then one of its tasks is stopped first

  Scenario: the counts behind a decision tell ready, starting and missing tasks apart
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    Then the first executor's counts are 1 task, 0 ready, 2 away, budget 1
    When all its tasks are ready
    Then the first executor's counts are 1 task, 1 ready, 0 away, budget 1
    When the third executor has not reported for 3 s
    Then the first executor's counts are 1 task, 1 ready, 1 away, budget 1

  Scenario: starting tasks count against the budget, as they may be ready before the order arrives
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    Then the first executor may not be taken down while both tasks start

  Scenario: tasks of an executor that does not report count against the budget
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When all its tasks are ready
    And no executor has reported for 3 s
    Then the first executor may not be taken down while it does not report

  Scenario: a new scheduler that has no reports takes no executor down while stops may be pending
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When another scheduler started 0.5 s ago
    Then the first executor may not be taken down while stops may be pending

  Scenario: the late end of an earlier run does not undo a reservation of the current run
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When all its tasks are in their second run
    And all its tasks are ready
    Then the first executor may be taken down
    When the end of run 1 of the first task is reported
    And run 2 of the first task is still reported as ready
    Then the second executor may not be taken down while the first one is down

  Scenario: the report of an earlier run does not make the current run ready
    Given a lasting step of 3 tasks with a budget of 1, each on its own executor
    When all its tasks are ready
    And the first task is placed again after its lease lapsed
    And run 1 of the first task is reported as ready
    Then the second executor may not be taken down while the first task starts

  Scenario: a task that was to be stopped when its lease lapsed counts as ready once it runs again
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When all its tasks are ready
    Then one of its tasks is stopped first
    When the first task is placed again after its lease lapsed
    And all its tasks are ready
    Then the first executor may be taken down

  Scenario: the stop of an excess task is not sent if another task became unavailable meanwhile
    Given a lasting step of 2 tasks with a budget of 1, both on one executor
    When all its tasks are ready
    Then one of its tasks is stopped first
    When only the first task is reported for 3 s
    Then its stop is not sent
    When all its tasks are ready
    Then one of its tasks is stopped first
    And its stop is sent
