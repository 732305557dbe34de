Feature: specification of the slot tokens

  One slot, its home and two borrowers, each replaced at most once. The search covers
  runs up to a number of steps; longer runs are not proved.

  Scenario: never more requests than slots
    Given the specification "slots"
    Then it has no unsafe run of up to 14 steps

  Scenario Outline: each rule of the slot tokens is needed
    Given the specification "slots"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule                   | depth |
      | return_home_only       | 11    |
      | messages_carry_totals  | 7     |
      | refuse_replaced        | 12    |
      | unlock_after_reports   | 8     |
      | unlock_after_deadline  | 8     |
      | reclaim_after_deadline | 7     |
      | lend_idle              | 4     |
