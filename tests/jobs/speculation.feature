Feature: a run that takes much longer than its siblings gets a copy, and the first that is done counts

  Jobs have one step of 8 tasks; in 100 ms all of its tasks but the first are done.

  Scenario: a late run of a speculative step gets one copy, elsewhere and in another rack
    Given a pool of 4 executors with 4 cores each
    When all tasks but one of a speculative step are done in 100 ms
    Then no copy starts while it may be as slow as its siblings
    And then 1 copy starts as run 2, on an executor of another rack
    And its record is stored with both runs, that of the copy last
    And both runs of the late task are allocated
    And no further copy starts in 5 s

  Scenario Outline: steps that may not have copies never get one
    Given a pool of 4 executors with 16 cores each
    When a queue's tasks have taken 100 ms and a step that is <kind> starts
    Then no further copy starts in 5 s

    Examples:
      | kind                   |
      | plain                  |
      | speculative and gang   |
      | speculative and lasting |

  Scenario: a step of which no task is done is compared with the learned run time of its queue
    Given a pool of 4 executors with 4 cores each
    When a queue's tasks have taken 100 ms and a speculative task starts
    Then 1 copy starts within 400 ms

  Scenario Outline: copies leave the room that waiting tasks want
    Given a pool of 4 executors with 4 cores each
    When all tasks but one of a speculative step are done in 100 ms
    And a <waiting> waits
    Then <count> copies start in 1 s

    Examples:
      | waiting                               | count |
      | task as large as an executor          | 0     |
      | task that no executor could run       | 1     |
      | hopeless task as large as an executor | 1     |

  Scenario: copies go to executors that a waiting task with a label may not use
    Given a pool of 4 executors with 4 cores each
    When all tasks but one of a speculative step are done in 100 ms
    And a large task with label b waits
    Then 1 copy starts within 400 ms
    And the copy runs on an executor with label a

  Scenario: a hopeless job gets no copies
    Given a pool of 4 executors with 4 cores each
    When all tasks but one of a speculative step are done in 100 ms
    And the job has become hopeless
    Then 0 copies start in 1 s

  Scenario: both runs count towards a limit per executor
    Given a pool of 2 executors with 16 cores each
    When all tasks but two of a speculative step with at most 4 per executor are done
    Then no executor has more than 4 active runs of the step

  Scenario Outline: the first run that is done counts and the other one is stopped
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its <first> run ends done
    Then the late task is done and only its <other> run is stopped
    When its <other> run ends <outcome>
    Then the job is completed, nothing is allocated and it can be forgotten

    Examples:
      | first   | other   | outcome |
      | earlier | copied  | stopped |
      | copied  | earlier | stopped |
      | earlier | copied  | done    |
      | copied  | earlier | failed  |
      | copied  | earlier | lapsed  |

  Scenario: the other run is stopped at once although the job goes on
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy, and a second step waits
    And its earlier run ends done
    Then only its copied run is stopped and the second step starts

  Scenario Outline: the other run goes on when one ends without result
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its <first> run <ends>
    Then the late task has <failures> failures and only its <other> run goes on
    When its <other> run ends done
    Then the job is completed, nothing is allocated and it can be forgotten

    Examples:
      | first   | ends                     | failures | other   |
      | earlier | ends failed              | 1        | copied  |
      | copied  | ends failed              | 1        | earlier |
      | earlier | is missing               | 0        | copied  |
      | copied  | is missing               | 0        | earlier |
      | copied  | is withdrawn             | 0        | earlier |
      | earlier | is withdrawn             | 0        | copied  |
      | copied  | is lost with its executor | 0       | earlier |
      | earlier | is lost with its executor | 0       | copied  |

  Scenario Outline: a copy that was lost may be replaced, one that failed is not
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its copied run <ends>
    Then <count> copies start in 1 s

    Examples:
      | ends         | count |
      | ends failed  | 0     |
      | is withdrawn | 1     |
      | is missing   | 1     |

  Scenario: the task starts again with a new number once both runs are lost
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its copied run is missing
    And its earlier run is missing
    Then the late task starts again as run 3

  Scenario Outline: a job whose last attempt fails goes on while the other run does
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has failed twice and has a copy
    And its copied run ends failed
    Then the job is running
    When its earlier run <ends>
    Then the job is <state>, nothing is allocated and it can be forgotten

    Examples:
      | ends         | state     |
      | ends done    | completed |
      | ends failed  | failed    |
      | is missing   | failed    |
      | is withdrawn | failed    |

  Scenario: the other tasks of a job are stopped when its last run is withdrawn
    Given a pool of 4 executors with 4 cores each
    When the late task has failed twice and has a copy, and a plain task of its job runs
    And its copied run ends failed
    And its earlier run is withdrawn
    Then the job ends as failed
    And 1 stops are ordered

  Scenario: a cancelled job stops both runs
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And the job is cancelled
    Then both runs of the late task are stopped

  Scenario: a start of a copy whose task is done by then is not sent
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its earlier run ends done
    Then the start of the copy is not valid, and once withdrawn nothing is allocated

  Scenario Outline: a run marked lapsed that was done after all counts
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its <run> run is lost with its executor
    And its <run> run is reported as done after all
    Then the late task is done and only its <other> run is stopped
    And reports that its <run> run was done, or failed, change nothing

    Examples:
      | run     | other   |
      | earlier | copied  |
      | copied  | earlier |

  Scenario Outline: a late report of a plain task whose run was replaced changes nothing
    Given a pool of 4 executors with 4 cores each
    When the run of a plain task was lost and replaced
    Then a report that the lost run is <outcome> changes nothing

    Examples:
      | outcome |
      | done    |
      | failed  |

  Scenario: the next scheduler knows both runs, and accepts that the earlier one is done
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And another scheduler takes over
    Then both runs of the late task are allocated
    And no further copy starts in 5 s
    When its earlier run ends done
    Then the late task is done and only its copied run is stopped

  Scenario: the next scheduler doesn't start a task again that is done
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its earlier run ends done
    And another scheduler takes over
    Then the plan starts 0 tasks
    And the job ends as completed

  Scenario: the next scheduler doesn't use the number of a failed copy again
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its copied run ends failed
    And another scheduler takes over
    Then the plan starts 0 tasks
    When its earlier run ends failed
    Then the late task starts again as run 3

  Scenario: a run that an earlier scheduler started gets a copy too
    Given a pool of 4 executors with 4 cores each
    When all tasks but one of a speculative step are done in 100 ms
    And another scheduler takes over
    Then 1 copy starts within 4000 ms

  Scenario: a run of a done task is stopped again while its end is not known
    Given a pool of 4 executors with 4 cores each
    When the late task of a speculative step has a copy
    And its copied run ends done
    And the stop is lost
    Then its earlier run is stopped again

  Scenario: a wrong run time of a queue does not start copies of all its tasks at once
    Given a pool of 4 executors with 64 cores each
    When a queue's tasks have taken 100 ms and 10 speculative steps take longer
    Then at most 32 copies start in one plan, and all tasks have one in the end

  Scenario: steps that may not have copies, or have no runs, cost a check nothing
    Given a pool of 4 executors with 16 cores each
    When plain and speculative steps have run
    Then the check looks at the speculative step while it has runs, at most every 100 ms

  Scenario: generated histories of runs, losses and changes of scheduler
    Then in generated histories with copies, allocations are the runs believed active

  Scenario Outline: in a simulated load with slow runs, copies serve jobs at little extra work
    Given 20 executors of which <slow> are slow, and 8 jobs a second of which half are speculative
    When their load is simulated for 20 s with copies and without
    Then <percent>% more of the speculative jobs are in time with copies
    And the tail of their times is <tail> times shorter
    And copies take at most 5% more core time in total
    And no plain task ever has 2 runs

    Examples:
      | slow | percent | tail |
      | 0    | 10      | 1.5  |
      | 1    | 10      | 1.5  |
