Feature: a scheduler and its successor give no contradicting orders

  Scenario: a scheduler that is cut off from the store does not extend leases that its successor counts as over
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits a job of 1 long task
    And the scheduling node is cut off from the store, and the executor is unlisted
    And its successor has scheduled for 7 s
    Then no task has runs on two executors
