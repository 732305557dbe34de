Feature: claims of idempotency keys

  Scenario: the first claim by offset owns a key
    Then generated claims and releases agree with a simple model
    And folding generated claims twice has the effect of folding them once

  Scenario: keys whose claims may be truncated are not taken as free
    Given claims whose records before offset 50 are no longer retained
    Then keys are not known to be free until the period of a key has passed

  Scenario: a claim takes little memory
    Then 20000 live claims take less than 250 bytes each

  Scenario: a reader of a truncated log never owns a key that others own
    Then in generated histories a truncated reader's owners are among the full reader's

  Scenario: readers with different bundles agree on claims
    Then generated claims have the same outcome whatever period a reader's bundle names
