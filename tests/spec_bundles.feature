Feature: specification of the bundles in force

  Two nodes, one log with retention, and its newest snapshot. The proof is by induction
  and covers any number of steps, records and replacements. It does not cover that a
  bundle arrives within seconds.

  Scenario: the bundle in force never reverts and nodes at the tail agree
    Given the specification "bundles"
    Then its invariant proves every run safe

  Scenario Outline: each rule of the bundles is needed
    Given the specification "bundles"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule                | depth |
      | roll_names_parent   | 2     |
      | snapshot_not_older  | 6     |
      | snapshot_continues  | 7     |
      | snapshot_whole      | 4     |
      | records_without_gap | 6     |
      | serve_after_tail    | 5     |
