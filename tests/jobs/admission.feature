Feature: jobs are turned away only if they could not be done before callers stop waiting

  Scenario Outline: a job is accepted if it can be done within three times its objective
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of <wait> ms
    When a job of 2 steps of 640 ms each arrives
    Then it is <answer>

    Examples:
      | wait  | answer   |
      | 0     | accepted |
      | 2000  | accepted |
      | 6600  | accepted |
      | 6700  | refused  |
      | 40000 | refused  |

  Scenario: a refused job is told to return when it could be in time, and not with all others
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of 10000 ms
    When 40 jobs of 2 steps of 640 ms each arrive
    Then they are told to return after 9 s to 13 s, at 4 times or more
    And a repeated request for a job is told the same time

  Scenario Outline: without a recent load, and for work without a caller that waits, jobs are accepted
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of 40000 ms
    When <case>
    Then it is accepted

    Examples:
      | case                                                    |
      | a job arrives 2.1 s after the load was published        |
      | a job arrives 2.1 s before the load's time              |
      | a lasting job arrives                                   |
      | a scheduled job arrives                                 |
      | a job arrives for a service that has no load            |

  Scenario: run times that were learned decide, not the caller's estimates
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of 6700 ms
    When its tasks were seen to take 3000 ms instead of 640 ms
    And a job of 2 steps of 640 ms each arrives
    Then it is accepted

  Scenario: the expected wait follows from the work that waits and the VMs that it may have
    Then 800 core-seconds on 10 VMs of 16 cores, 8 of them lasting, take 7.0 s
    And 800 core-seconds on 0 VMs of 16 cores, 0 of them lasting, take 65.0 s

  Scenario: the load is published while jobs wait, and once more when none waits
    Given a publisher of loads
    When it is called 10 times in 2 s with 800 core-seconds waiting
    Then 5 records are stored
    When it is called 10 times in 2 s with 0 core-seconds waiting
    Then 1 records are stored, without waits

  Scenario Outline: a job is refused only once the store was read up to its end without it
    Given an entry of an overloaded service
    When a caller submits a job
    And <event>
    Then the caller is answered <answer>
    And <appends> appends of the entry were sent

    Examples:
      | event                                        | answer      | appends |
      | the store is read to its end                 | busy        | 0       |
      | the store is read to its end and has the job | done        | 0       |
      | the store does not answer                    | unavailable | 0       |

  Scenario: a job whose append has no answer yet is not refused when it comes again
    Given an entry of a service without load
    When a caller submits a job
    And the service gets overloaded
    And a caller submits a job
    Then no caller is answered yet
    And 1 appends of the entry were sent

  Scenario Outline: a malformed load is ignored, and the one before it stays
    Given an entry of an overloaded service
    When a load of <value> is read from the store
    Then the entry still knows the load before it

    Examples:
      | value                        |
      | 7                            |
      | [1, 2]                       |
      | [1, [["letters", "soon"]]]   |
      | [1, [["letters", -1]]]       |
      | [1, [["letters", NaN]]]      |
      | [1, [["letters", Infinity]]] |
      | [Infinity, []]               |
      | [1, [[]]]                    |
