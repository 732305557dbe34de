Feature: executors that take calls that were meant for their former incarnation

  Scenario: a renewal for the former incarnation may have extended the lease of the next one
    Guards against two runs at once: the deadline that was sent to the former incarnation
    is far ahead of the next one's clock, so that its lease is the longest one.
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When the executor registers with born 2000 and port 2
    Then run 1 is over, and no run is started
    When born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2
    When born 2000 accepts run 2 and reports it
    And the executor is silent for 6 s
    Then run 2 is not over
    When it is silent for 6 s
    Then run 2 is over

  Scenario Outline: a new scheduler allows for a lease that its predecessor extended on a young incarnation
    Guards against two runs at once after a restart and a change of scheduler.
    Given a scheduler that inherits run 1 on an executor that started 3 s ago, <how>
    When the executor is silent for 11 s
    Then run 1 is not over
    When it is silent for 14 s
    Then run 1 is over, and no run is started

    Examples:
      | how                                |
      | again                              |
      | which its predecessor had not read |

  Scenario: a new scheduler allows for such a lease from the first answer on
    Given a scheduler that inherits run 1 on an executor that started 3 s ago, again
    When the executor reports run 1
    And the executor is silent for 6 s
    Then run 1 is not over
    When it is silent for 6 s
    Then run 1 is over, and no run is started

  Scenario Outline: a new scheduler counts the usual lease of an executor without former calls
    Guards against tasks that wait for executors that are lost beside a scheduler.
    Given a scheduler that inherits run 1 on an executor that started <seconds> s ago, <how>
    When the executor is silent for 6 s
    Then run 1 is over, and no run is started

    Examples:
      | seconds | how                |
      | 60      | again              |
      | 3       | for the first time |

  Scenario: a new scheduler allows for such a lease on an executor that is not registered
    Given a scheduler that inherits run 1 on an unregistered executor, which started 3 s ago, again
    Then run 1 lapses only 10 s after the start of the term or later
    And run 1 lapses within 14 s

  Scenario: an attempt without an answer may reach the next incarnation, though another one was accepted
    Given a scheduler and an executor born at 1000 that took the second attempt of run 1, while the first had no answer
    When the executor registers with born 2000 and port 2
    Then run 1 is not over
    When born 2000 reports its runs
    And born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: attempts without an answer may reach the next incarnation, though the run is reported
    Given a scheduler and an executor born at 1000 that reports run 1, two attempts of which had no answer
    When the executor registers with born 2000 and port 2
    Then run 1 is not over

  Scenario: an attempt without an answer that was given up long ago reaches no incarnation
    Given a scheduler and an executor born at 1000 that took the second attempt of run 1, while the first had no answer
    When born 1000 reports run 1 for 13 s
    And the executor registers with born 2000 and port 2
    Then run 1 is over and starts again once born 2000 has reported

  Scenario: late calls to the former incarnation are fenced off from the next one
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When the executor registers with born 2000 and port 2
    Then the fencing token of born 2000 is above that of born 1000, and of the same term

  Scenario: an incarnation that begins without runs is fenced at once
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When run 1 ends as done
    And the store has stored all
    And the executor registers with born 2000 and port 2
    Then born 2000 is asked for a report

  Scenario: no deadline is further ahead than the longest lease before an executor starts again
    Given 1 nodes on an emulated platform with an executor born at 1000
    When a job of 4 tasks of 1 s runs on it
    Then no lease was shortened
    When it starts again with born 2000 at its port, and registers 1 s later
    Then the job is completed, and each task ended done once and never ran twice at a time

  Scenario: no task runs twice while executors restart, take former calls and are cut off
    When former calls with seeds 1 to 12 are replayed
    Then no task runs twice at a time after a restart, and all jobs are completed

  Scenario: no late start is carried out by an incarnation that nobody has called yet
    When former calls with seeds 1 to 60 are replayed, late ones at any time
    Then no task runs twice at a time after a restart, and all jobs are completed
