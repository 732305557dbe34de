Feature: ctl

  Scenario: the commands of a roll-out, each with its exit code
    Given a log for operators
    Then "bundle validate BUNDLE" by anna exits 0 saying "version: 1"
    And "bundle diff BUNDLE" by anna exits 0 saying "+[pool a]"
    And "bundle publish BUNDLE" by boris exits 1 saying "author is anna"
    And "bundle publish BUNDLE" by anna exits 0 saying "BundleProposed"
    And "bundle publish BUNDLE" by anna exits 1 saying "already-done"
    And "bundle roll DIGEST" by boris exits 1 saying "not-signed"
    And "bundle sign-off DIGEST" by anna exits 1 saying "same-person"
    And "bundle sign-off DIGEST" by boris exits 0 saying "BundleSigned"
    And "bundle sign-off 123456789a" by boris exits 1 saying "no such proposal"
    And "bundle roll DIGEST --json" by boris exits 0 saying "offset"
    And "bundle status" by anna exits 0 saying "operator: boris"
    And "fleet status" by anna exits 0 saying "serving: 8"
    And "wave status" by anna exits 0 saying "done: 0"
    And "explain a1" by anna exits 0 saying "phase: serving"
    And "explain zz" by anna exits 1 saying "no VM"
    And "bundle diff BUNDLE" by anna exits 0 saying "no difference"

  Scenario: of two rival bundles the first one rolled wins, and the other's refusal names it
    Given a log for operators
    And the bundle of anna is rolled by boris
    When anna and clara each publish a next bundle
    Then rolling anna's bundle exits 0 saying "BundleRolled"
    And rolling clara's bundle exits 1 saying "in force is version 2"
    And "bundle status" by anna exits 0 saying "operator: boris"

  Scenario: errors name the invalid input
    Given a log for operators
    Then "bundle validate /nowhere.ini" by anna exits 2 saying "/nowhere.ini"
    And "bundle sign-off 12" by anna exits 2 saying "more digits"
    And "bundle roll DIGEST" by "" exits 2 saying "operator's name is missing"
    And "fleet status --ops 127.0.0.1:1" by anna exits 2 saying "shared key"
    And a broken bundle exits 2 naming file, section, key, value and what is allowed

  Scenario: the outcome of an append without an answer is found by reading the log
    Given a log for operators
    When the log loses its next answers
    Then "bundle publish BUNDLE" by anna exits 0 saying "BundleProposed"
    And "bundle sign-off DIGEST" by boris exits 0 saying "BundleSigned"
    And the log holds 2 records

  Scenario: an outage and an unknown outcome have their own exit codes
    Given a log for operators
    When an append's outcome stays unknown
    Then "bundle publish BUNDLE" by anna exits 4 saying "unknown"
    When the log is down
    Then "bundle status" by anna exits 3 saying "does not answer"

  Scenario: every command has an example that names an option it knows
    Then every command's help has an example and "--json"

  Scenario: both example bundles are valid and have the required sizes
    Then the example of "agence" has 40 VMs in 4 zones and 7 seats
    And the example of "heidavollur" has 30 VMs in 3 zones and 6 seats
