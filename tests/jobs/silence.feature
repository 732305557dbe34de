Feature: records of silent executors

  Scenario: a record is stored once two renewals in a row fail, and keeps the last grant
    Given an agent of an executor with a run
    When 1 renewal fails
    Then no record is stored
    When 1 renewal fails
    Then the record says that the lease was granted 1.9 s ago
    And no renewal grants the lease

  Scenario: a renewal without an answer is repeated at once before it means anything
    Guards against ends of runs that are known 2 s late because one answer is lost.
    Given an agent of an executor with a run
    When the executor answers 1 renewals
    Then a renewal is sent that is given up within 0.7 s
    When 1 renewal fails
    Then a renewal is sent that waits for nothing
    And the executor does not count as unreachable
    When 1 renewal fails
    Then the executor counts as unreachable

  Scenario: the lease is granted again only when the deletion of the record is stored
    Given an agent of an executor with a run
    When 2 renewals fail
    And the store takes the record
    And the executor answers 3 renewals
    Then the executor counts as unreachable
    And no renewal grants the lease
    When the store takes the deletion
    Then the next renewal grants the lease
    And the executor does not count as unreachable

  Scenario: an executor that falls silent again before the deletion is stored gets no lease
    Given an agent of an executor with a run
    When 2 renewals fail
    And the store takes the record
    And the executor answers 1 renewals
    And 1 renewal fails
    And the store takes the deletion
    Then the executor counts as unreachable

  Scenario: a record that was never sent does not delay the next grant
    Given an agent of an executor with a run
    And an append in flight
    When 2 renewals fail
    And the executor answers 1 renewals
    Then the next renewal grants the lease
    And no record is stored

  Scenario: a start order for an executor with a record is withdrawn and not sent
    Given an agent of an executor with a run
    When 2 renewals fail
    And a start order arrives
    Then the start was withdrawn and not sent

  Scenario: a start that came too late gets no new deadline while there is a record
    Given an agent of an executor with a run
    When a start order arrives
    And 2 renewals fail
    And the executor answers that the start came too late
    Then the start is not sent again for 1 s

  Scenario: an agent that takes over an executor with a record grants it no lease
    Given a record that was read 3 s ago and was 1 s old when it was made
    When an agent takes the executor over
    Then no renewal grants the lease
    And its runs count as lapsed after 0.4 s, but not after 0.2 s

  Scenario: a lapse is noted while a renewal still waits for its answer
    Given an agent of an executor with a run
    When 4 renewals fail
    Then its runs count as lapsed within 4.3 s of the last grant

  Scenario: an agent that takes over an executor whose lease is over waits 0.2 s for an answer
    Given a record that was read 5 s ago and was 1 s old when it was made
    When an agent takes the executor over
    Then its runs do not count as lapsed
    And its runs count as lapsed 0.2 s later without an answer

  Scenario: runs of an executor that answers do not count as lapsed while the record is deleted
    Given a record that was read 3 s ago and was 1 s old when it was made
    When an agent takes the executor over
    And the executor answers 1 renewals
    Then its runs do not count as lapsed 0.5 s later

  Scenario: a node forgets a record that is deleted, and ignores a malformed one
    Given a record that was read 3 s ago and was 1 s old when it was made
    When these values of the record are read
      | value  | silent |
      |        | no     |
      | 8120   | no     |
      | 811864 | yes    |
      |        | no     |

  Scenario: a scheduler grants no lease once a successor may count on the end of its leases
    Given an agent of an executor with a run
    When the store takes no append for 1.4 s
    Then the scheduler still holds its term
    When the store takes no append for 0.2 s
    Then the scheduler does not hold its term
    When the executor answers 2 renewals
    Then no renewal grants the lease
    And the executor does not count as unreachable
    When the store takes appends again
    Then the next renewal grants the lease

  Scenario: the time for which a machine is suspended counts towards the end of a term
    Given an agent of an executor with a run
    When the scheduler's machine is suspended for 2 s
    Then the scheduler does not hold its term
