Feature: runs that are lost with their executor

  Background:
    Given 8 executors that crash under some tasks and are back after 3000 ms

  Scenario: a task under which executors crash is given up, and the jobs beside it are not
    When 5 jobs come each second for 10 s, every 10th with such a task
    And 60 s pass
    Then none of these tasks starts three times more after three crashes
    And the jobs with such a task have failed
    And the other jobs are completed

  Scenario: executors that crash under a task are counted by the next schedulers too
    When 5 jobs come each second for 10 s, every 10th with such a task
    And another scheduler takes over every 3 s, for 30 s
    And 90 s pass
    Then none of these tasks starts three times more after three crashes
    And the jobs with such a task have failed
    And the other jobs are completed

  Scenario: tasks that run alone leave half of the executors to others
    When 5 jobs come each second for 10 s, every 3th with such a task
    And 120 s pass
    Then none of these tasks starts three times more after three crashes
    And the jobs with such a task have failed
    And the other jobs are completed
    And never more than half of the executors that take runs are held

  Scenario Outline: a task <kind> under which executors crash is given up
    When 3 jobs come each second for 5 s, none with such a task
    And a job has such a task <kind>
    And 60 s pass
    Then none of these tasks starts three times more after three crashes
    And the jobs with such a task have failed
    And the other jobs are completed

    Examples: kinds
      | kind                       |
      | whose runs may have copies |
      | of a gang                  |
      | alone in a lasting step    |

  Scenario: a lasting job goes on without a task under which executors crash
    Guards against AVAIL: the other tasks of its step were stopped, whatever its budget.
    When 3 jobs come each second for 5 s, none with such a task
    And a job has such a task of a lasting step
    And 60 s pass
    Then none of these tasks starts three times more after three crashes
    And the job with such a task runs its 3 other tasks, and is not failed
    And the other jobs are completed
    When another scheduler takes over every 3 s, for 3 s
    And 20 s pass
    Then none of these tasks starts three times more after three crashes
    And the job with such a task runs its 3 other tasks, and is not failed

  Scenario: executors that are cut off and answer again do not count as crashed
    When these tasks cut their executors off instead
    And 2 jobs come each second for 5 s, every 5th with such a task
    And 40 s pass
    Then no job has failed

  Scenario: executors that crash by chance fail no job
    When 5 jobs come each second for 30 s, none with such a task
    And an executor crashes every 2 s, for 30 s
    And 60 s pass
    Then no job has failed
    And the other jobs are completed

  Scenario: the losses of a lasting task that ran for long are forgotten
    When a lasting task is lost, runs again for 11 s, and is lost again
    And the first of its executors answers after all
    Then its stored record can be read and counts 0 losses

  Scenario Outline: a task whose executors are cut off again and again is not given up
    Guards against LOST: silence counted as a crash, and the job failed at the fifth cut.
    When the executor of a job's only task is cut off for <cut> ms, 7 times
    And 5 s pass
    Then no job has failed
    And no task is suspected of a crash

    Examples: shorter than a lease, longer, and until the executor is unlisted
      | cut  |
      | 3000 |
      | 4500 |
      | 9000 |

  Scenario: a task is not given up while its executors are silent, however many are lost
    When the executors of a job's only task are lost for good one after the other, 6 times
    Then no job has failed

  Scenario Outline: tasks under which executors crash for longer than a lease are given up
    Guards against BUDGET: such an executor is silent first, and known to be over later.
    Given executors that are back <ms> ms after a crash
    When 3 jobs come each second for 5 s, none with such a task
    And a job has such a task alone
    And another scheduler takes over every <takeover> s, for 30 s
    And 90 s pass
    Then none of these tasks starts three times more after three crashes
    And the jobs with such a task have failed
    And the other jobs are completed

    Examples:
      | ms    | takeover |
      | 3000  | 2        |
      | 5000  | 100      |
      | 7000  | 100      |
      | 7000  | 5        |
      | 10000 | 100      |

  Scenario: a job fails with its only lasting task, though the task of another step is done
    When three executors crash under the only lasting task of a job with a step that is done
    Then that job has failed
