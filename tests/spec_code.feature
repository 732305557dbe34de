Feature: the code keeps to the specifications

  Scenario: the chart and the specifications have the same steps
    Then the states of the vm chart are those of the specifications, step by step

  Scenario: the code takes a whole batch as the specification does
    Then the code takes every step of "BatchOpened, read 0, fold 0, acknowledge 0, BatchAcked 0, hand on to 1, fold 1, acknowledge 1, BatchAcked 1, check 0, send 0, DrainStarted, read 0, fold 0, read 1, fold 1, confirm 1, DrainConfirmed 1, answer 0, confirm 0, DrainConfirmed 0, RebootOrdered, VmJoined, read 0, fold 0, check 0"

  Scenario Outline: the code refuses the step that makes a run unsafe
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

  Scenario: a former process that lives on keeps its place in the barrier
    Then a seat taken at another address keeps the former process in the barrier

  Scenario: a VM in two rolls
    Then a VM removed and added to another pool is moved by a batch only

  Scenario: claims read from a truncated stream
    Then a reader of truncated claims dispatches no request that ran elsewhere

  Scenario: claims read before and after a gap
    Then a reader that missed a release dispatches no request that ran elsewhere
