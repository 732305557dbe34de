Feature: jobs count as pending until an executor has begun a run of them

  Scenario: jobs whose starts get no answer are shown as pending
    Guards against MIXED: four jobs that were placed on executors of a dark rack counted
    as running for as long as it was dark.
    Given 2 nodes on an emulated platform with 2 executors
    And each of them has run a task
    When all executors lose power, and 4 jobs are accepted
    Then both nodes show 4 pending jobs for 5 s

  Scenario: a job is shown as running soon after an executor has begun a run
    Given 2 nodes on an emulated platform with 1 executors
    When a job with a task of 4 s is accepted
    Then both nodes show it as running within 2 s, and no pending job

  Scenario: a job with a run that has begun stays running while its executor is cut off
    Given 2 nodes on an emulated platform with 1 executors
    When a job with a task of 9 s is accepted
    Then both nodes show it as running within 2 s, and no pending job
    When its executor is silent and the node that schedules is killed
    Then the other node shows it as running for 8 s

  Scenario: the next scheduler shows a job as pending whose start nobody confirmed
    Given 2 nodes on an emulated platform with 2 executors
    And each of them has run a task
    When all executors lose power, and 4 jobs are accepted
    And the node that schedules is killed
    Then the other node shows 4 pending jobs for 5 s

  Scenario: a job that has begun is stored at once with its next change, else 1 s later
    Given a pool of 1 executors with 2 cores each
    When a job with steps of 2 and 1 tasks of 1 core is added
    Then the plan starts 2 tasks, which is stored as pending
    When an executor says that it has begun one
    Then nothing is to be stored for 0.9 s
    And the job is to be stored as running 0.2 s later, once

  Scenario: a job whose first task has ended is stored as running with that end
    Given a pool of 1 executors with 2 cores each
    When a job with steps of 2 and 1 tasks of 1 core is added
    Then the plan starts 2 tasks, which is stored as pending
    When an executor says that it has begun one, and that it is done
    Then the job is to be stored as running at once
    And nothing is to be stored for 2 s

  Scenario: the work of a job that is late is refunded if no start of it was carried out
    Given a scheduler with customers, and a job of one whose start has not been confirmed
    When the start is withdrawn, and the job can no longer be in time
    Then its customer gets its work back
