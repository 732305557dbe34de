Feature: executors on which tasks take much longer than elsewhere are used last

  Background:
    Given a pool of 4 executors with 16 cores each
    And tasks take 600 ms

  Scenario: three long runs make an executor count as slow, two do not
    Given tasks take 3000 ms on e1
    When 2 jobs in a row have a task on each executor
    Then no executor counts as slow
    When 1 jobs in a row have a task on each executor
    Then e1 counts as slow
    And the log says that e1 is slow by a ratio of 2 or more, from 3 ratios, because of runs

  Scenario: a run that is still going counts once it has taken twice as long as its siblings
    Given tasks take 60000 ms on e1
    When 3 jobs at once have a task on each executor
    And 1180 ms go by
    Then no executor counts as slow
    When 60 ms go by
    Then e1 counts as slow

  Scenario: a run that is still going counts then too if far more time was expected for it
    Given tasks take 60000 ms on e1
    When 3 jobs at once, expected to take 30000 ms, have a task on each executor
    And 1300 ms go by
    Then e1 counts as slow

  Scenario Outline: runs whose length says nothing about their executor do not count
    Given tasks take 3000 ms on e1
    When 3 jobs at once have a <kind> task on each executor
    And 3100 ms go by
    Then no executor counts as slow

    Examples:
      | kind    |
      | gang    |
      | fills   |
      | lasting |

  Scenario: an executor counts as sound again after results like those of others
    Given tasks take 3000 ms on e1
    When 3 jobs in a row have a task on each executor
    Then e1 counts as slow
    Given tasks take 700 ms on e1
    When 2 jobs in a row have a task on each executor
    Then e1 counts as slow
    When 1 jobs in a row have a task on each executor
    Then no executor counts as slow
    And the log says that e1 is sound, because of runs

  Scenario: an executor counts as sound again 10 s after its last result, not while runs stand still
    Given tasks take 15000 ms on e1
    When 3 jobs at once have a task on each executor
    And 24800 ms go by
    Then e1 counts as slow
    When 400 ms go by
    Then no executor counts as slow
    And the log says that e1 is sound, because of silence

  Scenario: what is known ends with the executor
    Given tasks take 3000 ms on e1
    When 3 jobs in a row have a task on each executor
    Then e1 counts as slow
    When e1 is forgotten and registers again
    Then no executor counts as slow

  Scenario: another scheduler begins without knowledge, and learns from its own runs only
    Given tasks take 3000 ms on e1
    When 3 jobs in a row have a task on each executor
    And 3 jobs at once have a task on each executor
    And another scheduler takes over
    And 1500 ms go by
    Then no executor counts as slow
    When 3 jobs in a row have a task on each executor
    Then e1 counts as slow

  Scenario: a job whose tasks all take long says nothing about executors
    Given 9 jobs in a row have a task on each executor
    And tasks take 6000 ms
    When 5 jobs at once have a task on each executor
    And 7000 ms go by
    Then no executor counts as slow

  Scenario: without siblings elsewhere, all runs of a step count as one
    Given 9 jobs in a row have a task on each executor
    And tasks take 3000 ms on e2
    When 1 jobs of 4 tasks run on e2 only
    And 1300 ms go by
    Then no executor counts as slow
    When 2 jobs of 4 tasks run on e2 only
    And 1300 ms go by
    Then e2 counts as slow

  Scenario: runs on an executor that did not answer, or while the scheduler paused, say nothing
    Given tasks take 3000 ms on e1
    When 3 jobs at once have a task on each executor
    And 800 ms go by
    And e1 does not answer for 2000 ms
    And 500 ms go by
    Then no executor counts as slow
    When 3 jobs at once have a task on each executor
    And 800 ms go by
    And the scheduler pauses for 1500 ms
    And 900 ms go by
    Then no executor counts as slow

  Scenario: if more than half of a pool seem slow, none counts as slow
    Given tasks take 3000 ms on e1
    And tasks take 3000 ms on e2
    When 3 jobs at once have a task on each executor
    And 3100 ms go by
    Then e1 and e2 count as slow
    When e3 and e4 have left the pool
    And 100 ms go by
    Then no executor counts as slow
    And the log says that slowness is ignored, in 2 of 2 executors
    When e3 registers again
    And 100 ms go by
    Then no executor counts as slow
    When e4 registers again
    And 100 ms go by
    Then e1 and e2 count as slow

  Scenario: tasks run on a slow executor only when no other has room, gangs as well
    Given e1 is slow
    When a job of 12 tasks of 4 cores is placed, in a gang or not
    Then none of them is on e1
    When a gang of 13 tasks of 4 cores is placed
    Then some of them are on e1

  Scenario Outline: a task that only a slow executor has room for waits for others up to 1 s
    Given e1 is slow
    And tasks take 4000 ms
    When <tasks> tasks of 4 cores, expected to take <run_ms> ms, are placed <where>
    Then the last of them starts after <wait_ms> ms, on e1

    Examples:
      | tasks | run_ms | where      | wait_ms |
      | 13    | 4000   | anywhere   | 1000    |
      | 13    | 800    | anywhere   | 1000    |
      | 13    | 200    | anywhere   | 800     |
      | 13    | 150    | anywhere   | 0       |
      | 2     | 4000   | on e1 only | 0       |

  Scenario: a lasting task that only a slow executor has room for starts at once
    Given e1 is slow
    When 12 tasks of 4 cores, expected to take 600 ms, are placed anywhere
    And a lasting step of 1 tasks of 4 cores is placed
    Then some of them are on e1

  Scenario: a task that waits starts on another executor as soon as that has room
    Given e1 is slow
    When 13 tasks of 4 cores, expected to take 600 ms, are placed anywhere
    Then none of them is on e1, and the last one starts after 600 ms

  Scenario: a task that waits because of slow executors does not ask for more VMs
    Given e1 is slow
    When 9 tasks of 4 cores, expected to take 4000 ms, are placed at most 3 on each
    And 4 tasks of 4 cores, expected to take 4000 ms, are placed at most 2 on each
    Then the pool needs no VM for tasks that no executor may run

  Scenario Outline: the order of the reasons for and against an executor
    Given e1 is slow
    When <step> is placed
    Then <rule>

    Examples:
      | step                                      | rule                      |
      | a lasting step that may miss 1 of 4 tasks | some of them are on e1    |
      | a task that failed on all the others      | some of them are on e1    |
      | a task whose data is in the rack of e1    | none of them is on e1     |

  Scenario: a draining executor gets nothing, however long it says that it remains
    Given a lasting task runs on every executor
    When e1 drains for another 600000 ms
    And a job of 16 tasks of 4 cores is placed, in a gang or not
    Then none of them is on e1

  Scenario: three slow executors of 30 cost fewer jobs their objective
    Given jobs of 8 tasks on 30 executors, of which 3 are 5 times slower from second 2 to 8
    When they run with and without regard to slow executors
    Then at most 64% of the jobs in the seconds 2 to 8 are in time without it, and at least 68% with it
    And at most 80% and at least 90% where no run is long by chance
    And all slow executors are found within 2000 ms
    And sound executors count as slow for less than 1 of 1,000 of the time

  Scenario: tasks wait for room on sound executors rather than start on slow ones
    Given jobs of 8 tasks on 30 executors, of which 3 are 5 times slower from second 2 to 8
    And 38 jobs a second instead of 25
    When they run with and without regard to slow executors
    Then at most 68% of the jobs in the seconds 2 to 8 are in time without it, and at least 70% with it
    And at most 88% and at least 93% where no run is long by chance

  Scenario: executors that leave their tasks standing still are found
    Given jobs of 8 tasks on 30 executors, of which 3 stand still from second 2 to 8
    When they run with and without regard to slow executors
    Then all slow executors are found within 2000 ms
    And sound executors count as slow for less than 1 of 1,000 of the time

  Scenario Outline: long runs by chance make no executor count as slow for long
    Given jobs of 8 tasks on 30 sound executors, <sizes>
    When they run for 60 s
    Then sound executors count as slow for less than 1 of 1,000 of the time

    Examples:
      | sizes                                      |
      | all of one size                            |
      | of which some take 8 times as long as others |

  Scenario: the decisions are the same where no executor is slow
    Given jobs of 8 tasks on 30 sound executors, of which no run is long by chance
    When they run with and without regard to slow executors
    Then all decisions are the same
