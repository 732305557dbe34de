Feature: specification of a start during an outage of the log

  One VM, the last member that has to acknowledge (the sponsor) and a newcomer that
  sends on the heartbeats of the sponsor. The proof is by induction and covers any
  number of steps.

  Scenario: no planned reboot cuts a request of a newcomer
    Given the specification "newcomer"
    Then its invariant proves every run safe

  Scenario Outline: each rule of a start during an outage is needed
    Given the specification "newcomer"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule               | depth |
      | hold_acks          | 11    |
      | hold_for_deadline  | 13    |
      | hold_when_unlinked | 14    |
      | proof_ages         | 15    |
      | newcomer_caught_up | 11    |
      | outage_only        | 10    |

  Scenario: in the code, a newcomer that lacks records does not rely on its sponsor's heartbeat
    Given a sponsor without the log and a newcomer that lacks its last records
    Then the newcomer does not send on its sponsor's heartbeat

  Scenario: in the code, a newcomer does not rely on an old heartbeat of its sponsor
    Given a sponsor without the log and a newcomer that lacks its last records
    When the newcomer has its sponsor's records
    And the newcomer's clock jumps forward after a freeze
    Then the newcomer does not send on its sponsor's heartbeat
