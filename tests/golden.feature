@golden
Feature: golden sessions

  Whole sessions in process with a clock and a seed of their own: bundle, wave, failure
  and recovery. `make golden` renews the files under tests/golden.

  Scenario Outline: the session of a deployment
    When the session of "<deployment>" is played with seed <seed>
    Then its decision log is the approved one

    Examples:
      | deployment  | seed |
      | agence      | 7    |
      | heidavollur | 11   |
