Feature: log lines on jobs that stand still

  Background:
    Given a pool of 4 executors with 4 cores each

  Scenario: a job that waits is logged after 2 s and every 2 s, with why each executor takes nothing
    When the first drains, the second is unlisted, the third is unreachable and the fourth is cordoned
    And a job with steps of 4 and 1 tasks of 1 core is added
    And it is planned every 150 ms for 5 s
    Then 2 stalls are logged, after 2100 and 4200 ms
    And each counts 4 waiting tasks, and executors draining 1, unlisted 1, unreachable 1, cordoned 1

  Scenario: a limit per executor that running tasks reach is logged, and one that done tasks reach is none
    When a job of 5 tasks with at most 1 on each executor is added
    And its tasks are done
    And it is planned every 150 ms for 3 s
    Then 0 stalls are logged
    When a lasting step of 5 tasks with at most 1 on each executor is added
    And it is planned every 150 ms for 6 s
    Then 1 stalls are logged, after 4200 ms
    And each counts 1 waiting tasks, and executors limit 4

  Scenario: quarantined executors with a probe, and those that refused a start, are counted apart
    When two executors are quarantined and two are paused
    And a job with steps of 2 and 1 tasks of 1 core is added
    And it is planned every 150 ms for 1 s
    And a job with steps of 4 and 1 tasks of 1 core is added
    And it is planned every 150 ms for 3 s
    Then 1 stalls are logged, after 2100 ms
    And each counts 4 waiting tasks, and executors quarantined 2, paused 2

  Scenario: a job whose tasks are all on executors that do not answer stands still
    When a job with steps of 4 and 1 tasks of 1 core is added
    And it is planned every 150 ms for 1 s
    And every executor falls silent
    And it is planned every 150 ms for 3 s
    Then 1 stalls are logged, after 2100 ms
    And each counts 4 silent tasks

  Scenario: a job with a running task, or one that starts tasks in between, is not logged
    When a job with steps of 20 and 1 tasks of 1 core is added
    And it is planned every 150 ms for 5 s
    Then 0 stalls are logged
    When its tasks end every second while nothing answers in between, for 5 s
    Then 0 stalls are logged

  Scenario: a lasting task that waits is logged although others of its step run
    When a lasting step of 17 tasks with a budget of 1 is added
    And it is planned every 150 ms for 6 s
    Then 1 stalls are logged, after 4200 ms
    And each counts 1 waiting tasks, and executors no-room 4

  Scenario: at most 5 jobs of a service are logged at a time, and a final job never
    When 9 jobs wait for a label that no executor has
    And it is planned every 150 ms for 3 s
    Then 5 stalls are logged, after 2100 ms
    And each counts 1 waiting tasks, and executors other-label 4
    When all jobs are cancelled
    And it is planned every 150 ms for 3 s
    Then 0 stalls are logged
