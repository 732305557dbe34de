Feature: conformance of the code to the specifications

  Scenario: the VM state chart and the specifications have the same transitions
    Then the vm chart has exactly the states and transitions of the specifications

  Scenario: the code accepts each action of a whole batch
    Then the code accepts every action of "BatchOpened, read 0, fold 0, acknowledge 0, BatchAcked 0, forward to 1, fold 1, acknowledge 1, BatchAcked 1, check 0, send 0, DrainStarted, read 0, fold 0, read 1, fold 1, confirm 1, DrainConfirmed 1, answer 0, confirm 0, DrainConfirmed 0, RebootOrdered, VmJoined, read 0, fold 0, check 0"

  Scenario Outline: the code refuses the action that makes a run unsafe
    Then the code refuses "<step>" in the unsafe run of <depth> steps without "<rule>"

    Examples:
      | rule                 | depth | step          |
      | ack_by_all           | 8     | DrainStarted  |
      | ack_names_batch      | 19    | BatchAcked    |
      | bound_when_submitted | 16    | check         |
      | fresh_after_ack      | 16    | check         |
      | confirm_by_all       | 13    | RebootOrdered |
      | wait_lease           | 16    | RebootOrdered |
      | wait_deadline        | 16    | RebootOrdered |

  Scenario: the drain barrier still includes a replaced process that is alive
    Then a join of the seat at another address keeps the former process in the barrier

  Scenario: a VM removed by one bundle and added to another pool by the next
    Then a VM removed and added to another pool is moved by a batch only

  Scenario: claims read from a stream whose start is missing
    Then a reader of the truncated stream dispatches no request that ran elsewhere

  Scenario: claims read before and after a gap in the stream
    Then a reader that missed a release dispatches no request that ran elsewhere
