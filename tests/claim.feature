Feature: claims of idempotency keys

  Scenario: the first claim by offset owns a key
    Then generated claims and releases agree with a plain model
    And folding generated claims twice has the effect of folding them once

  Scenario: claims that ran out of the log are not guessed
    Given claims whose records before offset 50 are no longer retained
    Then keys are not known to be free before the time of a key has passed

  Scenario: a claim takes little memory
    Then 20000 live claims take less than 250 bytes each

  Scenario: a reader that lost its place never owns a key that others own
    Then in generated histories a truncated reader's owners are among the full reader's

  Scenario: readers under different bundles judge claims alike
    Then generated claims are judged alike whatever memory a reader's bundle names
