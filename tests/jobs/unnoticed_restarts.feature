Feature: former calls that arrive before the next incarnation is known

  Scenario: a start whose answer shows another clock was taken by the next incarnation
    Its clock starts anew, and its lease is the longest one from the start's arrival on.
    Given a scheduler and an executor born at 1000 that is about to take run 1
    When its next incarnation takes the start of run 1, and is then cut off for 6 s
    Then run 1 is not over

  Scenario: an incarnation gets no new run before it has said what it runs
    It may run what was started by calls to the former one, and lapsed for the scheduler.
    Given a scheduler and an executor born at 1000 that is about to take run 1
    When its next incarnation takes the start of run 1, and is then cut off for 6 s
    And the executor is silent for 6 s
    And born 2000 registers at port 2, and no call has an answer yet
    Then no run is started at port 2

  Scenario: an attempt without an answer is remembered by the agent of a new address
    Given a scheduler and an executor born at 1000 that took the second attempt of run 1, while the first had no answer
    When its agent is replaced, and reports run 1 three times
    And the executor registers with born 2000 and port 2
    Then run 1 is not over

  Scenario: a new scheduler allows for former calls where only reports have born
    Given a next scheduler that inherits run 1 on an executor registered without born
    When the executor reports run 1 as born 3 s ago
    And the executor is silent for 6 s
    Then run 1 is not over

  Scenario: a change of scheduler beside a lost executor starts its tasks soon
    Guards against LOST: a lasting task has 6 s, and 3 s of calm, from its last run on; a
    scheduler changes in 2 s.
    Given a next scheduler that inherits run 1 on an executor that is not registered
    When 8 s pass after its start
    Then run 2 is started on the executor that is left

  Scenario: a start to an executor that went down does not run on its next incarnation
    Guards against TWICE: a start without an answer was repeated until the next incarnation
    took it. That was cut off before it had answered, so that its lease was the longest
    one, but counted as lapsed like that of the former incarnation.
    Given 1 nodes on an emulated platform with an executor born at 1000
    And another executor born at 1000
    And each has run a task
    When one of them goes dark as a job of 4 tasks of 9 s comes
    And it starts again 0.6 s later, but none of its answers arrive for 6 s
    Then no task ever ran twice at a time

  Scenario Outline: no task runs twice while executors are cut off before their registration
    Guards against runs on an incarnation that the scheduler does not know: its lease is
    the longest one, and counts as lapsed like that of the former incarnation.
    When unnoticed restarts with seeds <seed> to <seed> are replayed
    Then no task runs twice after an unnoticed restart

    Examples:
      | seed |
      | 22   |
      | 92   |
      | 143  |

  Scenario Outline: no late start is carried out before the next incarnation is fenced
    When unnoticed restarts with seeds <seed> to <seed> are replayed
    Then no task runs twice after an unnoticed restart

    Examples:
      | seed |
      | 117  |
      | 277  |

  Scenario: no task runs twice when the only answer of an unknown incarnation is lost
    When unnoticed restarts with seeds 200 to 300 are replayed
    Then no task runs twice after an unnoticed restart
