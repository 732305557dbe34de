Feature: specification of a VM's move between pools

  Two controls, one VM, the platform's fence and one entry. The proof is by induction
  and covers any number of steps, orders and moves.

  Scenario: a serving VM is never stopped and never in two pools
    Given the specification "moves"
    Then its invariant proves every run safe

  Scenario Outline: each rule of a move is needed
    Given the specification "moves"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule                  | depth |
      | fence                 | 11    |
      | read_back             | 3     |
      | join_names_last_order | 13    |
      | join_when_listed      | 8     |
      | confirm               | 9     |
      | pool_set_by_join      | 2     |
