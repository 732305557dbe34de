Feature: operators see each customer's limit, share, use and jobs

  Scenario: what a customer has running counts all its runs, of every step
    Given customer "large" with weight 4 and a limit of 4000 m, 800 MB and 2 accelerators
    And customer "small" with weight 1 and a limit of 0 m, 0 MB and 0 accelerators
    And a job of "large" with 2 placed tasks of 1500 m, 200 MB and 1 accelerators
    And a job of "large" with 1 placed tasks of 500 m, 100 MB and 0 accelerators
    And a cancelled job of "large" with 1 placed tasks of 250 m, 50 MB and 0 accelerators
    Then "large" has 3750 m, 550 MB and 2 accelerators running
    And "large" is at its limit of "accelerators"
    And "small" has 0 m, 0 MB and 0 accelerators running
    And "small" is at its limit of "nothing"

  Scenario: jobs are counted by state, and a rate above the weight is shown
    Given customer "large" with weight 4 and a limit of 0 m, 0 MB and 0 accelerators
    And customer "small" with weight 1 and a limit of 0 m, 0 MB and 0 accelerators
    And 6 pending jobs of "small" that were accepted 1 s ago
    And 5 completed jobs of "small" that were accepted 6 s ago
    And 5 running jobs of "large" that were accepted 4 s ago
    Then "small" has 6 jobs waiting, 0 running and 5 done
    And "small" had 1.2 jobs a second, more than its share
    And "large" has 0 jobs waiting, 5 running and 0 done
    And "large" had 1.0 jobs a second, within its share

  Scenario: a removed customer is listed while it has jobs that are not over
    Given customer "large" with weight 4 and a limit of 0 m, 0 MB and 0 accelerators
    And 1 running jobs of "gone" that were accepted 9 s ago
    And 1 completed jobs of "long gone" that were accepted 9 s ago
    And 1 running jobs of "" that were accepted 9 s ago
    Then the customers listed are "large, gone"
    And "gone" is listed as not configured

  Scenario: a deployment without customers lists none
    Given a configuration without customers
    And 1 running jobs of "" that were accepted 9 s ago
    Then no customers are listed, as the deployment has none

  Scenario: the list shows no key and no digest
    Given customer "large" with weight 4 and a limit of 0 m, 0 MB and 0 accelerators
    Then the list as JSON contains neither the key nor its digest
