Feature: executors that start again under their id

  Scenario: a registration with a higher born ends the runs of the earlier incarnation
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When the executor registers with born 2000 and port 2
    Then run 1 is over, and no run is started
    And the client of port 1 is closed
    And nothing acknowledges an end or grants a lease before born 2000 has answered
    When born 2000 reports its runs
    Then run 2 is started at port 2
    And its next renewal grants the lease

  Scenario: a report with a higher born ends the runs before the registration is read
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When the executor answers a renewal as born 2000, without runs
    Then run 1 is over, and no run is started
    When the executor registers with born 2000 and port 1
    Then run 1 is over, and no run is started
    When born 2000 reports its runs
    Then run 2 is started at port 1
    And the executor has had 2 clients

  Scenario: a registration under the born of a report, at another address, is followed
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When the executor answers a renewal as born 2000, without runs
    And the executor registers with born 2000 and port 3
    Then run 1 is over, and no run is started
    When born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 3

  Scenario: a late registration of an earlier incarnation changes nothing
    Given a scheduler and an executor born at 2000 that reports run 1 of a task
    When the executor registers with born 1000 and port 7
    Then run 1 goes on at port 1, asked by the same agent
    When run 1 ends as done, and the executor is unlisted and forgotten
    And the executor registers with born 1000 and port 7
    Then the scheduler knows no executor

  Scenario: a late report of an earlier incarnation changes nothing
    Given a scheduler and an executor born at 2000 that reports run 1 of a task
    When the executor answers a renewal as born 1000, without runs
    Then run 1 goes on at port 1, asked by the same agent

  Scenario Outline: a registration and a report with an equal or no born are of the same incarnation
    Given a scheduler and an executor born at <known> that reports run 1 of a task
    When the executor registers with born <registered> and port 1
    And the executor answers a renewal as born <reported>, with run 1
    Then run 1 goes on at port 1, asked by the same agent

    Examples:
      | known | registered | reported |
      | 1000  | 1000       | 1000     |
      | 1000  | 0          | 0        |
      | 0     | 1000       | 1000     |
      | 0     | 0          | 0        |
      | 0     | 0          | 1000     |

  Scenario: a born that a registration lacks is known from reports
    Given a scheduler and an executor born at 0 that reports run 1 of a task
    When the executor answers a renewal as born 1000, with run 1
    And the executor registers with born 0 and port 1
    And the executor answers a renewal as born 2000, without runs
    Then run 1 is over, and no run is started

  Scenario: a start without an answer that the new incarnation received is kept
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the executor registers with born 2000 and port 2
    And born 2000 reports its runs: run 1
    Then run 1 goes on at port 2, and nothing was stopped or started there
    When run 1 ends as done
    Then the job is completed

  Scenario: a start without an answer that nobody received is barred before the task starts again
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the executor registers with born 2000 and port 2
    And born 2000 reports its runs
    Then run 1 is not over, and is to be stopped at port 2
    When born 2000 reports its runs
    Then run 1 is not over, and is to be stopped at port 2
    When born 2000 accepts the stop
    And born 2000 reports its runs
    And born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: a repetition of a start that was reported may reach the new incarnation
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When born 1000 reports its runs: run 1
    And the executor registers with born 2000 and port 2
    And born 2000 reports its runs
    Then run 1 is not over, and is to be stopped at port 2
    When born 2000 accepts the stop
    And born 2000 reports its runs
    And born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: a start without an answer is not sent again once its run was reported
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When born 1000 reports its runs: run 1
    And the start of run 1 gets no answer
    Then run 1 is not sent again within 1 s
    When born 1000 reports its runs: run 1
    And born 1000 reports its runs: run 1
    And the executor registers with born 2000 and port 2
    Then run 1 is over, and no run is started
    When born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: a start that the new incarnation received and ended counts once
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the executor registers with born 2000 and port 2
    And born 2000 reports that run 1 ended as done
    Then the job is completed

  Scenario: a start accepted since the last report may have been accepted by the new incarnation
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the start of run 1 is accepted without born
    And the executor registers with born 2000 and port 2
    And born 2000 reports its runs: run 1
    Then run 1 goes on at port 2, and nothing was stopped or started there

  Scenario: a start accepted since the last report that the new incarnation lacks is over
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the start of run 1 is accepted without born
    And the executor registers with born 2000 and port 2
    And born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: a start accepted as the earlier incarnation is over with it
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the start of run 1 is accepted as born 1000
    And the executor registers with born 2000 and port 2
    Then run 1 is over, and no run is started
    When born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: a start accepted as a later incarnation is kept until that one reports it
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the start of run 1 is accepted as born 2000
    Then run 1 is not over
    When born 2000 reports its runs: run 1
    Then run 1 is not over

  Scenario: a lease deadline of the earlier incarnation's clock may hold on the new one
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the executor registers with born 2000 and port 2
    And born 2000 reports its runs: run 1
    And born 2000 is silent for 6 s
    Then run 1 is not over
    When born 2000 is silent for 6 s
    Then run 1 is over, and no run is started

  Scenario Outline: a new scheduler asks the incarnation that it finds about the runs of earlier ones
    Given a scheduler that inherits run 1 on an executor that registers with born <registered>
    When born <reported> answers, and <what>
    Then <result>

    Examples:
      | registered | reported | what                       | result                                      |
      | 2000       | 2000     | reports its runs           | run 1 is over, and run 2 is started at port 1 |
      | 2000       | 2000     | reports its runs: run 1    | run 1 is not over                           |
      | 1000       | 2000     | reports its runs           | run 1 is over, and no run is started        |
      | 1000       | 2000     | reports its runs: run 1    | run 1 is not over                           |

  Scenario: another executor at an old address does not prove that inherited runs are over
    Given a scheduler that inherits run 1 on an executor that registers with born 1000
    When another id answers at its address
    Then run 1 is not over
    When another id answers at its address for 5 s
    Then run 1 is over, and no run is started

  Scenario: the new incarnation gets no acknowledgement of the earlier one's ends
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    And the store is slow
    When born 1000 reports ends up to 7
    And the executor registers with born 2000 and port 2
    And the store has stored all
    Then no renewal at port 2 acknowledges an end
    When born 2000 reports ends up to 2
    And the store has stored all
    Then a renewal at port 2 acknowledges end 2

  Scenario: an end is acknowledged only over the connection on which it was reported
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    And the store is slow
    When born 1000 reports ends up to 7
    And the executor closes its connections
    And the store has stored all
    Then no renewal at port 1 acknowledges an end
    When the executor answers a renewal as born 1000, with run 1
    Then a renewal at port 1 acknowledges end 7

  Scenario: an end whose report was read late is not acknowledged to the next incarnation
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When born 1000 reports ends up to 7 in answer to a renewal of 300 ms before
    And it starts again before these are stored
    Then no renewal at port 1 acknowledges an end

  Scenario: an end is not acknowledged to an executor that started again just after it
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When born 1000 reports ends up to 7 in answer to a renewal of 10 ms before
    And it starts again before these are stored
    Then no renewal at port 1 acknowledges an end

  Scenario: an executor that closes each connection after its answer gets acknowledgements
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    And the executor closes each connection after its answer
    When born 1000 reports ends up to 7 in answer to a renewal of 10 ms before
    And its connection is closed before these are stored
    Then no renewal at port 1 acknowledges an end
    When the executor answers a renewal as born 1000, with run 1
    Then a renewal at port 1 acknowledges end 7

  Scenario: the failures and the pause of the earlier incarnation are forgotten
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When it is quarantined and paused
    And the executor registers with born 2000 and port 2
    Then run 1 is over, and no run is started
    When born 2000 reports its runs
    Then run 1 is over, and run 2 is started at port 2

  Scenario: the new incarnation gets no lease while a record says that the earlier one was silent
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When born 1000 is silent until a record of it is stored
    And the store is slow
    And the executor registers with born 2000 and port 2
    And born 2000 reports its runs
    Then no renewal at port 2 grants the lease
    When the store has stored all
    Then run 1 is over, and run 2 is started at port 2

  Scenario: no start is repeated when a successor may have begun its term
    Given a scheduler and an executor born at 1000 with a start of run 1 without an answer
    When the store takes nothing for 2 s
    And the start of run 1 gets no answer
    Then run 1 is not sent again within 1 s

  Scenario: an order for a VM that is answered late does not end the next incarnation
    Given 3 VMs in a pool that needs none
    And their executors were born at 1000
    When VMs are planned until a move is ordered
    And the executor of m0 starts again under its id
    And that order is answered as done
    Then the scheduler still knows the executor of m0

  Scenario Outline: a registration that defines no usable executor ends only new starts
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When the registration becomes <value>
    And another task waits
    Then run 1 goes on at port 1, asked by the same agent
    And the waiting task is not started
    When the executor registers with born 1000 and port 1
    Then the waiting task is started

    Examples:
      | value                                  |
      | {"state":"ready"}                      |
      | not JSON                               |
      | deep nesting                           |
      | an entry with state "asleep"           |
      | an entry with service "unknown"        |
      | an entry with capacity {"cpu":-4000}   |
      | an entry with address "nowhere"        |

  Scenario: malformed registrations are logged at most every 5 s, and others hold
    Given a scheduler and an executor born at 1000 that reports run 1 of a task
    When 300 malformed registrations are read
    Then 1 line about them is logged
    And run 1 goes on at port 1, asked by the same agent
    When 5 s later one more is read
    Then a line says that 299 others were not logged

  Scenario Outline: tasks on an executor that starts again under its id run once at a time
    Given 1 nodes on an emulated platform with an executor born at 1000
    When a job of 4 tasks of 1 s runs on it
    And it starts again with born 2000 <how>
    Then the job is completed, and each task ended done once and never ran twice at a time
    And no acknowledgement to born 2000 is above the ends that it reported

    Examples:
      | how                                            |
      | at its port, and registers                     |
      | at its port, and registers 1 s later           |
      | at another port, and registers                 |
      | at another port, and registers 1 s later       |

  Scenario: an executor that starts again and again, while jobs come, loses none of them
    Given 2 nodes on an emulated platform with an executor born at 1000
    And another executor born at 1500
    When 30 jobs come in 6 s, while each executor starts again every 0.8 s
    Then all jobs are completed, and no task ever ran twice at a time

  Scenario: a new scheduler takes over an executor that started again while none scheduled
    Given 2 nodes on an emulated platform with an executor born at 1000
    When a job of 4 tasks of 1 s runs on it
    And the node that schedules is killed, and the executor starts again with born 2000
    Then the job is completed at the other node, and no task ever ran twice at a time

  Scenario Outline: the end of a run on an incarnation not yet known is read, not forgotten
    Given 1 nodes on an emulated platform with an executor born at 1000
    When a job of 4 tasks of 1 s runs on it
    And it is idle and starts again with born 2000, registering <when>
    And a job of 3 tasks of <ms> ms comes
    Then that job is completed, and each of its 3 tasks ended done once

    Examples:
      | when    | ms  |
      | late    | 5   |
      | late    | 150 |
      | at once | 5   |

  Scenario: restarts beside lost and late messages and changes of scheduler
    When days with seeds 180 to 189 are replayed
    Then no task ran twice at a time, and all jobs are completed

  Scenario: the first ends of an incarnation are read before they are acknowledged
    When days with seeds 1064 to 1064 are replayed
    Then no task ran twice at a time, and all jobs are completed

  Scenario: a task under which executors start again under their ids is given up
    Given 1 nodes on an emulated platform with an executor born at 1000
    And another executor born at 2000
    When a job comes whose task restarts each executor that starts it
    Then the job fails before its task has started three times after three restarts

  Scenario: a task under which executors start again is given up by the next scheduler too
    Given 2 nodes on an emulated platform with an executor born at 1000
    And another executor born at 2000
    When a job comes whose task restarts each executor that starts it
    And the node that schedules is killed as the task starts for the first time
    Then the job fails before its task has started three times after three restarts
