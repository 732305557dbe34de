Feature: specification of the drain barrier under replacement

  One seat, its process and its successor, one VM. The proof is by induction and covers
  any number of steps.

  Scenario: no planned reboot cuts a request of a replaced entry
    Given the specification "members"
    Then its invariant proves every run safe

  Scenario Outline: each rule of replacement is needed
    Given the specification "members"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule                    | depth |
      | send_after_join_read    | 7     |
      | replace_at_same_address | 11    |
      | gone_when_seen_before   | 11    |
      | confirm_by_all          | 4     |
      | wait_after_removal      | 6     |
      | longest_of_all_bundles  | 8     |
