# Front processes of one scenario at a time.
@processes
Feature: Hosts that are cut from all engines go on serving

    # Guards against hosts without paths to engines that serve far fewer requests than the others.
    Scenario Outline: <case>
        Given the front program is bundled
        When <hosts> of 6 hosts in 3 failure domains are cut from all engines for 8 s, and channels "<mode>"
        Then no answer or run violates a guarantee
        And the cut hosts serve at least two thirds as many first tries as the others, or fail few

        Examples:
            | case                                         | hosts            | mode        |
            | half of the hosts, channels hang             | half             | hang        |
            | half of the hosts, channels are reset        | half             | reset       |
            | half of the hosts, new channels never open   | half             | unreachable |
            | half of the hosts, only new ones are refused | half             | refuse_new  |
            | a whole failure domain, channels hang        | a failure domain | hang        |
