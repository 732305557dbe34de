Feature: probes, single tasks that try out quarantined executors

  Background:
    Given a pool of 4 executors with 4 cores each

  Scenario: a job that fits on quarantined executors only does not wait for their quarantine
    Given hopeless jobs have quarantined both executors with label "a"
    When a job of 6 tasks with label "a" is added
    Then the plan starts 0 tasks
    When 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    And the plan starts 0 tasks

  Scenario: a probe that succeeds ends the quarantine at once
    Given hopeless jobs have quarantined both executors with label "a"
    When a job of 6 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    When the probe on the first executor ends done
    Then the plan starts 4 tasks, on 1 executors
    When the quarantine was to end
    Then no executor is quarantined and the counts are right

  Scenario: a probe that fails renews the quarantine, and the next task waits a second
    Given hopeless jobs have quarantined both executors with label "a"
    When a job of 6 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    When the probe on the first executor ends failed
    Then the plan starts 0 tasks
    When 1000 ms have passed
    Then the plan starts 1 tasks, on 1 executors
    And its probe is a task that did not fail there
    When the quarantine was to end
    Then only the first executor is quarantined

  Scenario: an end that tells nothing about the executor leaves its quarantine as it is
    Given hopeless jobs have quarantined both executors with label "a"
    When a job of 6 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    When the probe on the first executor ends stopped
    Then the plan starts 1 tasks, on 1 executors

  Scenario: a task with one attempt left is a probe only if no other task can be
    Given hopeless jobs have quarantined both executors with label "a"
    When a job with one attempt left for its task with label "a" is added
    And a job of 1 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    And the new job was chosen before the one with one attempt left

  Scenario: no probe starts while an open executor takes the tasks
    Given hopeless jobs have quarantined both executors with label "a"
    When 1000 ms have passed
    And a job with steps of 4 and 1 tasks of 1 core is added
    Then the plan starts 4 tasks
    And no probe has started

  Scenario: an executor that runs a lasting task takes a probe as well
    Given a lasting task runs on every executor
    And hopeless jobs have quarantined both executors with label "a"
    When a job of 6 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors

  Scenario: lasting tasks that fit nowhere else start on quarantined executors one by one
    Given hopeless jobs have quarantined both executors with label "a"
    When a lasting step of 3 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    And the plan starts 1 tasks, on 1 executors

  Scenario: a gang that fits nowhere else uses as few quarantined executors as possible
    Given hopeless jobs have quarantined both executors with label "a"
    When a gang of 9 tasks of 1 core is added
    And 1000 ms have passed
    Then the plan starts 9 tasks, on 3 executors
    When every task of the gang ends as done
    Then one quarantined executor is left

  Scenario: a probe that its executor refuses leaves the executor to the next probe
    Given hopeless jobs have quarantined both executors with label "a"
    When a job of 6 tasks with label "a" is added
    And 1000 ms have passed
    Then the plan starts 2 tasks, on 2 executors
    When the first executor refuses its probe
    Then the plan starts 0 tasks
    When 1000 ms have passed
    Then the plan starts 1 tasks, on 1 executors
