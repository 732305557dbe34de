Feature: limits of the tasks of one step per executor

  Scenario: a limit per executor does not count tasks that are done
    Given a pool of 2 executors with 16 cores each
    When a job of 3 tasks with at most 1 on each executor is added
    Then the plan starts 2 tasks
    When the task on the first executor is done
    Then the plan starts 1 tasks, on 1 executors
    And no executor holds more than its cores

  Scenario: a limit per executor does not count a run whose lease has lapsed
    Given a pool of 2 executors with 16 cores each
    When a job of 2 tasks with at most 1 on each executor is added
    Then the plan starts 2 tasks
    When the runs of the first executor are marked lapsed while it is silent
    And the first executor answers again without its ends
    Then the plan starts 1 tasks, on 1 executors
