Feature: executors that register again

  Scenario: an executor that registers again stays closed for the upkeep of its VM
    Given a pool of 1 executors with 4 cores each
    When the executor is closed to new runs, dropped, and registers again
    And a job with steps of 1 and 1 tasks of 1 core is added
    Then the plan starts 0 tasks
    When no executor is closed to new runs any more
    Then the plan starts 1 tasks

  Scenario: starts that wait for their records are given up where the executor shrinks
    Given a pool of 1 executors with 4 cores each
    When a job with steps of 4 and 1 tasks of 1 core is added
    Then the plan starts 4 tasks
    When the executor shrinks to 2 cores before the starts are sent
    Then 2 of the starts are sent
    And the plan starts 0 tasks
    When the executor grows to 4 cores
    Then the plan starts 2 tasks
