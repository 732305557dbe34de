Feature: wave

  Scenario: a wave goes on by itself, whatever fails
    Then generated waves under failures keep every budget and come to their end

  Scenario Outline: a wave that waits says why
    Given a wave on pools of <a_vms> and 4 VMs that keep <budget> serving
    When the platform shows <failed> failed and "<entry>" is silent
    Then the wave waits for "<reason>" and names "<text>"

    Examples:
      | a_vms | budget | failed   | entry | reason           | text          |
      | 8     | 4      | a1,a3,a5 | e2    | budget           | 4 would serve |
      | 8     | 8      | none     | none  | budget           | 8 must        |
      | 8     | 4      | none     | e2    | not-acknowledged | e2            |
      | 1     | 0      | a0       | none  | not-serving      | a0            |

  Scenario: failures after the notice take the batch back
    Given a wave on pools of 8 and 4 VMs that keep 4 serving
    When the wave is planned with "e2" silent and then a1, a3, a5 and a7 fail
    Then the batch of pool "a" is aborted for "budget"

  Scenario: an old round is given up for a new one
    Given a wave on pools of 8 and 4 VMs that keep 4 serving
    When the wave is planned with "e2" silent and then a new round is rolled
    Then the batch of pool "a" is aborted for "outdated"

  Scenario Outline: weights decide the size of a batch
    Then of <due> VMs with at most <most> at once, <rollout> to <buffer> takes <size>

    Examples:
      | due | most | rollout | buffer | size |
      | 8   | 4    | 1       | 0      | 4    |
      | 5   | 4    | 1       | 0      | 3    |
      | 8   | 4    | 0       | 1      | 1    |
      | 16  | 9    | 1       | 1      | 4    |
      | 1   | 1    | 1       | 1      | 1    |

  Scenario: a batch stays in one rack of the first zone
    Given a wave on pools of 16 and 4 VMs that keep 4 serving
    Then the first batch of pool "a" is within one rack of zone "z1" when listed first
