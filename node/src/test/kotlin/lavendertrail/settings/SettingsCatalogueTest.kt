package lavendertrail.settings

import java.io.File
import kotlin.test.Test
import kotlin.test.assertEquals

class SettingsCatalogueTest {
    @Test
    fun `every setting has a meaning, and every meaning a setting`() {
        assertEquals(emptyList(), settingsCatalogue.filter { it.meaning.isBlank() }.map { it.name })
        assertEquals(emptySet(), settingTexts.keys - settingsCatalogue.map { it.name }.toSet())
    }

    @Test
    fun `defaults are within their ranges`() {
        val outside = settingsCatalogue.filter { entry -> entry.default != null && !entry.rule.accepts(entry.default) }
        assertEquals(emptyList(), outside.map { "${it.name} = ${it.default}" })
    }

    /** Run with the environment variable LAVENDERTRAIL_WRITE_PAGES=1 to regenerate the page after a change. */
    @Test
    fun `the settings page matches the code`() {
        val page = File("../docs/settings.md")
        if (System.getenv("LAVENDERTRAIL_WRITE_PAGES") == "1") page.writeText(settingsPage())
        assertEquals(settingsPage(), page.readText())
    }
}
