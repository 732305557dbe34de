Feature: specification of the drain barrier

  Two entries and one VM. The proof is by induction and covers any number of batches
  and steps. A pause between check and send is bounded by the margin of the wait.

  Scenario: no planned reboot cuts a request
    Given the specification "barrier"
    Then its invariant proves every run safe

  Scenario Outline: each rule of the drain barrier is needed
    Given the specification "barrier"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule                 | depth |
      | ack_by_all           | 8     |
      | ack_names_batch      | 19    |
      | bound_when_submitted | 16    |
      | fresh_after_ack      | 16    |
      | age_from_sending     | 17    |
      | confirm_by_all       | 13    |
      | wait_lease           | 16    |
      | wait_deadline        | 16    |
      | pause_bounded        | 16    |

  Scenario: a confirmation while a request runs lets a reboot cut it
    Given the specification "barrier"
    Then after "BatchOpened, read 0, fold 0, acknowledge 0, BatchAcked 0, read 1, fold 1, acknowledge 1, BatchAcked 1" 21 steps without "confirm_when_idle" lead to an unsafe run
