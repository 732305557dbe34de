Feature: decisions of the scheduler reach the executors

  Scenario: a cancel reaches an executor that registers after the change of scheduler
    Given 2 nodes on an emulated platform with 1 executors
    When a caller submits a long-running job with 2 tasks
    Then its 2 tasks run
    When the entry of the only executor lapses
    And its lease outlasts the change of scheduler
    And the scheduling node is killed
    And the caller cancels the job at the other node
    And the other node has scheduled for 0.1 s
    And the executor registers again
    Then it has no runs within 1.5 s

  Scenario: a fill task that the previous scheduler may have halted is set to full speed
    Given 2 nodes on an emulated platform with 1 executors
    When a caller submits a long-running job with 2 fill tasks
    Then its 2 tasks run
    When they have run for 1.5 s
    And the scheduling node is killed
    Then both tasks are paced to 100 within 5 s

  Scenario: the first run on an executor that registered 3.5 s before the scheduler read it keeps its lease
    Given 1 nodes on an emulated platform with 1 executors
    When the entry of the only executor lapses
    And the executor's entry is read 3.5 s after it was written
    And a job of 1 task that takes 1.5 s is submitted
    Then node 1 shows the job as completed
    And no run of it lapsed

  Scenario: a run that hangs is replaced by its copy, and stopped
    Given 1 nodes on an emulated platform with 2 executors
    When the first run of one task of a speculative job hangs
    Then node 1 shows the job as completed
    And the run that hangs is stopped, and its copy was done

  Scenario: the next scheduler stops the earlier run of a task that has a copy
    Given 2 nodes on an emulated platform with 2 executors
    When the first run of one task of a speculative job hangs
    And its copy has started and takes 1500 ms
    And tasks of another job run on both executors
    And the scheduling node is killed
    Then the other node shows the job as completed
    And the run that hangs is stopped, and its copy was done
    And the task has started twice
