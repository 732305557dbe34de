Feature: specification of the claims of idempotency keys

  Four requests with one key, the last of them at a newcomer that reads a stream
  whose start is missing. The proof is by induction and covers any number of steps and
  appends.

  Scenario: a key runs at most once within its memory and "not run" is true
    Given the specification "claims"
    Then its invariant proves every run safe

  Scenario Outline: each rule of the claims is needed
    Given the specification "claims"
    Then without the rule "<rule>" <depth> steps lead to an unsafe run

    Examples:
      | rule                     | depth |
      | dispatch_after_read_back | 4     |
      | dispatch_only_pending    | 4     |
      | dispatch_within_deadline | 9     |
      | not_run_only_if_unsent   | 4     |
      | owner_names_entry        | 6     |
      | newcomer_waits           | 7     |

  Scenario: a release that does not name its claim lets a second request run
    Given the specification "claims"
    Then after "claim 0, KeyClaimed 0, report not run 0, release 0, KeyReleased 0" 12 steps without "release_names_claim" lead to an unsafe run

  Scenario: a release of a refused claim lets a newcomer run a second request
    Given the specification "claims"
    Then after "claim 0, KeyClaimed 0, newcomer starts, claim 1, KeyClaimed 1, report not run 1, release 1, report not run 0, release 0, KeyReleased 0, tick, tick, claim 2, KeyClaimed 2" 20 steps without "release_only_winner" lead to an unsafe run

  Scenario: a refused claim that does not restart the memory lets a newcomer run a second request
    Given the specification "claims"
    Then after "claim 0, KeyClaimed 0, newcomer starts, tick, claim 1, KeyClaimed 1, tick, tick" 15 steps without "refused_claims_count" lead to an unsafe run
